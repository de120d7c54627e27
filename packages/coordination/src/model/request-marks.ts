/**
 * Marks: options that a caller sets on a request, and their defaults.
 */
import type { RequestId } from './ids.js';

/** Priority classes, most important first. */
export enum Priority {
  /** Writes whose confirmation a person waits for: signatures, call outcomes. */
  Outcome = 'outcome',
  /** Interactive reads, for example of scripts. */
  Interactive = 'interactive',
  /** Dashboards and reports. */
  Background = 'background',
}

/** Marks of one request. */
export interface RequestMarks {
  /** Id under which the request runs at most once; undefined if it has none. */
  readonly requestId: RequestId | undefined;
  /** Whether the proxy may run it again if the outcome is unknown. */
  readonly repeatable: boolean;
  /** Maximum age of data, milliseconds; undefined if not stated. */
  readonly maxAgeMs: number | undefined;
  /** Time from arrival to answer, milliseconds; undefined for the host's default. */
  readonly deadlineMs: number | undefined;
  /** Undefined for the default of the statement's kind. */
  readonly priority: Priority | undefined;
}

/** A request without marks. */
export const NO_MARKS: RequestMarks = {
  requestId: undefined,
  repeatable: true,
  maxAgeMs: undefined,
  deadlineMs: undefined,
  priority: undefined,
};
