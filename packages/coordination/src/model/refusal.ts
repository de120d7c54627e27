/**
 * Reasons for which a request is refused or ends with an unknown outcome, and what each implies
 * about whether the request ran. This depends on the reason alone, not on the component that
 * reports it.
 */

/** Whether the statement of a refused request was executed. */
export enum ExecutionStatus {
  /** It was not executed. */
  No = 'no',
  /** It may have been executed; a retry with the same request id shows whether it was. */
  Unknown = 'unknown',
  /** It was executed before under the same request id. */
  Yes = 'yes',
}

/** Closed set of refusal reasons; the values are labels of the refusal counter. */
export enum RefusalReason {
  BadMarks = 'bad-marks',
  BadToken = 'bad-token',
  TokenDiscarded = 'token-discarded',
  Unsupported = 'unsupported',
  UnknownGroup = 'unknown-group',
  NoBundle = 'no-bundle',
  NoHome = 'no-home',
  NoPrimary = 'no-primary',
  NoMajority = 'no-majority',
  NoCoveringUpstream = 'no-covering-upstream',
  TooStale = 'too-stale',
  QueueFull = 'queue-full',
  ExpectedWait = 'expected-wait',
  DeadlineBeforeRun = 'deadline-before-run',
  Draining = 'draining',
  NotPrimary = 'not-primary',
  UpstreamLost = 'upstream-lost',
  UpstreamLostReading = 'upstream-lost-reading',
  PeerLost = 'peer-lost',
  PeerUnreachable = 'peer-unreachable',
  OutcomeUnknown = 'outcome-unknown',
  ReadNotCovered = 'read-not-covered',
  TransactionLost = 'transaction-lost',
  AnswerTooLarge = 'answer-too-large',
  MessageTooLarge = 'message-too-large',
  AlreadyRan = 'already-ran',
  Superseded = 'superseded',
  UpstreamUnreachable = 'upstream-unreachable',
  Canceled = 'canceled',
  NoAuthority = 'no-authority',
  AuthorityLapsed = 'authority-lapsed',
  SessionMisuse = 'session-misuse',
  UnknownStatement = 'unknown-statement',
  TransactionIdle = 'transaction-idle',
  StatementTimeout = 'statement-timeout',
  UnknownKey = 'unknown-key',
  OverLimit = 'over-limit',
  KeysUnconfirmed = 'keys-unconfirmed',
  ZoneEvacuated = 'zone-evacuated',
  NoPermittedRegion = 'no-permitted-region',
  UpstreamLeaving = 'upstream-leaving',
}

/** What a refusal reports to the caller. */
export interface RefusalRule {
  readonly ran: ExecutionStatus;
  /** SQLSTATE of the error, from Appendix A of the PostgreSQL manual. */
  readonly sqlState: string;
  readonly message: string;
  /** Delay after which the caller may retry, milliseconds; 0 if a retry can't succeed. */
  readonly retryAfterMs: number;
}

const SOON_MS = 200;
const LATER_MS = 1000;
/** About the interval between two tries of a planned change of primary. */
const PLANNED_CHANGE_MS = 500;

/** The rule of each reason; docs/INTERFACES.md shows this table. */
export const REFUSAL_RULES: Readonly<Record<RefusalReason, RefusalRule>> = {
  [RefusalReason.BadMarks]: rule(ExecutionStatus.No, '22023', 'request marks are not valid', 0),
  [RefusalReason.BadToken]: rule(ExecutionStatus.No, '28000', 'session token is not valid', 0),
  [RefusalReason.TokenDiscarded]: rule(
    ExecutionStatus.No,
    '40001',
    'session token names a position that a promotion discarded',
    0,
  ),
  [RefusalReason.Unsupported]: rule(
    ExecutionStatus.No,
    '0A000',
    'not supported through the proxy',
    0,
  ),
  [RefusalReason.UnknownGroup]: rule(
    ExecutionStatus.No,
    '3D000',
    'database group does not exist',
    0,
  ),
  [RefusalReason.NoBundle]: rule(
    ExecutionStatus.No,
    '57P03',
    'no configuration bundle received yet',
    LATER_MS,
  ),
  [RefusalReason.NoHome]: rule(ExecutionStatus.No, '57P03', 'no live home for the group', LATER_MS),
  [RefusalReason.NoPrimary]: rule(
    ExecutionStatus.No,
    '57P03',
    'group has no primary at present',
    LATER_MS,
  ),
  [RefusalReason.NoMajority]: rule(
    ExecutionStatus.No,
    '57P03',
    'no majority of upstreams reachable, a write could not be confirmed',
    LATER_MS,
  ),
  [RefusalReason.NoCoveringUpstream]: rule(
    ExecutionStatus.No,
    '57P03',
    'no reachable upstream holds what this session has seen',
    LATER_MS,
  ),
  [RefusalReason.TooStale]: rule(
    ExecutionStatus.No,
    '57P03',
    'no upstream is as fresh as asked',
    LATER_MS,
  ),
  [RefusalReason.QueueFull]: rule(
    ExecutionStatus.No,
    '53300',
    'queue for upstream connections is full',
    SOON_MS,
  ),
  [RefusalReason.ExpectedWait]: rule(
    ExecutionStatus.No,
    '53300',
    'expected wait is longer than the deadline',
    SOON_MS,
  ),
  [RefusalReason.DeadlineBeforeRun]: rule(
    ExecutionStatus.No,
    '57014',
    'deadline passed before running',
    SOON_MS,
  ),
  [RefusalReason.Draining]: rule(ExecutionStatus.No, '57P01', 'host is leaving', SOON_MS),
  [RefusalReason.NotPrimary]: rule(
    ExecutionStatus.No,
    '25006',
    'upstream refused the write: it is not the primary',
    SOON_MS,
  ),
  [RefusalReason.UpstreamLost]: rule(
    ExecutionStatus.Unknown,
    '40003',
    'upstream connection was lost while the request ran',
    SOON_MS,
  ),
  [RefusalReason.UpstreamLostReading]: rule(
    ExecutionStatus.No,
    '08006',
    'upstream connection was lost during a read',
    SOON_MS,
  ),
  [RefusalReason.PeerLost]: rule(
    ExecutionStatus.Unknown,
    '40003',
    'link to the home was lost while the request ran',
    SOON_MS,
  ),
  [RefusalReason.PeerUnreachable]: rule(
    ExecutionStatus.No,
    '08001',
    'home could not be reached',
    SOON_MS,
  ),
  [RefusalReason.OutcomeUnknown]: rule(
    ExecutionStatus.Unknown,
    '40003',
    'ran, but a majority did not confirm it before the deadline',
    SOON_MS,
  ),
  [RefusalReason.ReadNotCovered]: rule(
    ExecutionStatus.No,
    '57P03',
    'rows read were not confirmed by a majority before the deadline',
    LATER_MS,
  ),
  [RefusalReason.TransactionLost]: rule(
    ExecutionStatus.No,
    '25P02',
    'transaction was rolled back: its upstream connection is gone',
    SOON_MS,
  ),
  [RefusalReason.AnswerTooLarge]: rule(
    ExecutionStatus.Unknown,
    '54000',
    'answer exceeds the size limit of the proxy',
    0,
  ),
  [RefusalReason.MessageTooLarge]: rule(
    ExecutionStatus.No,
    '54000',
    'message exceeds the size limit',
    0,
  ),
  [RefusalReason.Superseded]: rule(
    ExecutionStatus.No,
    '40001',
    'a promotion discarded the commit before it was confirmed',
    SOON_MS,
  ),
  [RefusalReason.UpstreamUnreachable]: rule(
    ExecutionStatus.No,
    '08001',
    'no connection to the upstream could be opened',
    SOON_MS,
  ),
  [RefusalReason.Canceled]: rule(ExecutionStatus.No, '57014', 'canceled before running', 0),
  [RefusalReason.NoAuthority]: rule(
    ExecutionStatus.No,
    '57P03',
    'no recent proof of which upstream is the primary',
    SOON_MS,
  ),
  [RefusalReason.AuthorityLapsed]: rule(
    ExecutionStatus.Unknown,
    '40003',
    'ran, but the proof of the primary had lapsed when the answer came',
    SOON_MS,
  ),
  [RefusalReason.SessionMisuse]: rule(
    ExecutionStatus.No,
    '25000',
    'statement does not fit the state of the session',
    0,
  ),
  [RefusalReason.UnknownStatement]: rule(
    ExecutionStatus.No,
    '26000',
    'prepared statement is not known',
    0,
  ),
  [RefusalReason.TransactionIdle]: rule(
    ExecutionStatus.No,
    '25P03',
    'transaction was rolled back: it was idle for too long',
    SOON_MS,
  ),
  [RefusalReason.StatementTimeout]: rule(
    ExecutionStatus.Unknown,
    '57014',
    'upstream did not answer within the time of the statement',
    SOON_MS,
  ),
  [RefusalReason.UnknownKey]: rule(
    ExecutionStatus.No,
    '28000',
    'key belongs to no workspace of the configuration in force',
    0,
  ),
  [RefusalReason.OverLimit]: rule(
    ExecutionStatus.No,
    '53400',
    'workspace has used up its limit of operations',
    LATER_MS,
  ),
  [RefusalReason.KeysUnconfirmed]: rule(
    ExecutionStatus.No,
    '57P03',
    'host can not tell whether the key still counts',
    LATER_MS,
  ),
  [RefusalReason.ZoneEvacuated]: rule(
    ExecutionStatus.No,
    '57P03',
    'every upstream that could run it is in an evacuated zone',
    LATER_MS,
  ),
  [RefusalReason.NoPermittedRegion]: rule(
    ExecutionStatus.No,
    '57P03',
    'no upstream that could run it is in a region that the data may be in',
    0,
  ),
  [RefusalReason.UpstreamLeaving]: rule(
    ExecutionStatus.No,
    '57P03',
    'every upstream that could run it is leaving',
    PLANNED_CHANGE_MS,
  ),
  [RefusalReason.AlreadyRan]: rule(ExecutionStatus.Yes, '23505', 'request id has run before', 0),
};

function rule(
  ran: ExecutionStatus,
  sqlState: string,
  message: string,
  retryAfterMs: number,
): RefusalRule {
  return { ran, sqlState, message, retryAfterMs };
}

/** A refusal as passed on from the component that decides to the caller. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** What exactly was refused; empty if the reason is sufficient. */
  readonly detail: string;
  /** Delay after which the caller may retry, milliseconds; undefined if the rule of the reason applies. */
  readonly retryAfterMs?: number;
}

/** Creates a refusal. */
export function refuse(reason: RefusalReason, detail = ''): Refusal {
  return { reason, detail };
}

/** Whether the refused request was executed. */
export function executionStatusOf(refusal: Refusal): ExecutionStatus {
  return REFUSAL_RULES[refusal.reason].ran;
}

/** Delay after which the caller may retry, milliseconds; 0 if a retry can't succeed. */
export function retryAfterMsOf(refusal: Refusal): number {
  return refusal.retryAfterMs ?? REFUSAL_RULES[refusal.reason].retryAfterMs;
}
