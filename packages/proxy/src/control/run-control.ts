/**
 * Control statements of a promotion, on the connections that a home holds for them.
 */
import type { UpstreamId } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { ControlResult, UpstreamControl } from '@gladespool/upstreams';
import { err } from 'neverthrow';

/** A home as far as control statements are concerned. */
export interface ControlledHome {
  control(upstream: UpstreamId): Pick<UpstreamControl, 'run'> | undefined;
}

/**
 * Runs a control statement. A home that stops or loses an upstream while a promotion is under way has no
 * connection for it; that is an answer which did not come, like any other.
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
