/**
 * Errors of all packages. Each error names the step at which it occurred and the peer that it
 * concerns.
 */
import ModernError from 'modern-errors';

/** Steps at which an error can occur; a closed set, so that logs and metrics are comparable. */
export enum Step {
  Settings = 'settings',
  Accept = 'accept',
  Authenticate = 'authenticate',
  Decode = 'decode',
  Route = 'route',
  PeerConnect = 'peer-connect',
  PeerHandshake = 'peer-handshake',
  PeerExchange = 'peer-exchange',
  UpstreamConnect = 'upstream-connect',
  /** The connection was accepted, but the session did not start in time. */
  UpstreamStart = 'upstream-start',
  /** The upstream has reached its connection limit. */
  UpstreamAdmission = 'upstream-admission',
  UpstreamExchange = 'upstream-exchange',
  UpstreamStatus = 'upstream-status',
  Acknowledge = 'acknowledge',
  StoreRead = 'store-read',
  StoreWrite = 'store-write',
  StoreWatch = 'store-watch',
  HostList = 'host-list',
  Bundle = 'bundle',
  Promotion = 'promotion',
  Membership = 'membership',
  Listen = 'listen',
}

/** Where an error occurred. */
export interface ErrorContext {
  /** Step that failed. */
  readonly step: Step;
  /** Address or name of the peer; empty if the step concerns none. */
  readonly peer: string;
}

const StepError = ModernError.subclass('GladespoolError', {
  props: { step: Step.Settings, peer: '' },
});

/** An error with its step and peer. */
export type GladespoolError = InstanceType<typeof StepError>;

/** Optional parts of an error. */
export interface ErrorDetail {
  /** Lower-level error that caused this one. */
  readonly cause?: unknown;
}

/** Creates an error with its step and peer; the base class appends the message of the cause. */
export function gladespoolError(
  context: ErrorContext,
  message: string,
  detail: ErrorDetail = {},
): GladespoolError {
  const props = { step: context.step, peer: context.peer };
  if (detail.cause === undefined) return new StepError(message, { props });
  return new StepError(message, { cause: detail.cause, props });
}
