/**
 * Runs the control statements of a promotion on the control connections of a home.
 */
import type { UpstreamId } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { ControlResult, UpstreamControl } from '@gladespool/upstreams';
import { err } from 'neverthrow';

/** Part of a home that provides control connections. */
export interface ControlledHome {
  control(upstream: UpstreamId): Pick<UpstreamControl, 'run'> | undefined;
}

/**
 * Runs a control statement. A home that stops or loses an upstream during a promotion has no connection
 * for it; this is reported as an error, like any other missing reply.
 */
export function runControl(
  home: ControlledHome,
  upstream: UpstreamId,
  sql: string,
): Promise<ControlResult> {
  const control = home.control(upstream);
  if (control !== undefined) return control.run(sql);
  const place = { step: Step.UpstreamConnect, peer: upstream };
  return Promise.resolve(err(gladespoolError(place, 'no control connection')));
}
