/**
 * What a request says about itself, and the defaults when it says nothing.
 */
import type { RequestId } from './ids.js';

/** Priority classes, most important first. */
export enum Priority {
  /** Writes whose confirmation people wait for: signatures, call outcomes. */
  Outcome = 'outcome',
  /** Interactive reads: scripts. */
  Interactive = 'interactive',
  /** Dashboards and reports. */
  Background = 'background',
}

/** Marks of one request. */
export interface RequestMarks {
  /** Id under which the request runs at most once; undefined when it carries none. */
  readonly requestId: RequestId | undefined;
  /** Whether the proxy may run it again after doubt. */
  readonly repeatable: boolean;
  /** Tolerated age of data, milliseconds; undefined when unstated. */
  readonly maxAgeMs: number | undefined;
  /** Time allowed from arrival to answer, milliseconds; undefined takes the host's default. */
  readonly deadlineMs: number | undefined;
  /** Undefined takes the default of the statement's kind. */
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
