/**
 * Errors of every package: each names the step at which it arose and the peer it concerns.
 */
import ModernError from 'modern-errors';

/** Steps at which an error can arise; the closed set keeps logs and metrics comparable. */
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
  /** The connection was accepted, and the session not started in time. */
  UpstreamStart = 'upstream-start',
  /** The upstream has as many connections as it allows. */
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

/** Where an error arose. */
export interface ErrorContext {
  /** Step that failed. */
  readonly step: Step;
  /** Address or name of the other party; empty when the step concerns no peer. */
  readonly peer: string;
}

const PlacedError = ModernError.subclass('GladespoolError', {
  props: { step: Step.Settings, peer: '' },
});

/** An error with its step and peer. */
export type GladespoolError = InstanceType<typeof PlacedError>;

/** Optional parts of an error. */
export interface ErrorDetail {
  /** Lower-level error that led to this one. */
  readonly cause?: unknown;
}

/** Builds an error that names its step and peer; the cause's message is appended by the base class. */
export function gladespoolError(
  place: ErrorContext,
  message: string,
  detail: ErrorDetail = {},
): GladespoolError {
  const props = { step: place.step, peer: place.peer };
  if (detail.cause === undefined) return new PlacedError(message, { props });
  return new PlacedError(message, { cause: detail.cause, props });
}
