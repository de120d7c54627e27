/**
 * Type bytes of PostgreSQL protocol v3 messages.
 * Source: PostgreSQL manual, "Message Formats".
 */

/** Types of messages from frontend to backend. */
export enum FrontendType {
  Bind = 0x42,
  Close = 0x43,
  CopyData = 0x64,
  CopyDone = 0x63,
  CopyFail = 0x66,
  Describe = 0x44,
  Execute = 0x45,
  Flush = 0x48,
  FunctionCall = 0x46,
  Parse = 0x50,
  Password = 0x70,
  Query = 0x51,
  Sync = 0x53,
  Terminate = 0x58,
}

/** Types of messages from backend to frontend. */
export enum BackendType {
  BindComplete = 0x32,
  CloseComplete = 0x33,
  CommandComplete = 0x43,
  CopyBothResponse = 0x57,
  CopyInResponse = 0x47,
  CopyOutResponse = 0x48,
  DataRow = 0x44,
  EmptyQuery = 0x49,
  Error = 0x45,
  NoData = 0x6e,
  Notice = 0x4e,
  Notification = 0x41,
  ParameterDescription = 0x74,
  ParameterStatus = 0x53,
  ParseComplete = 0x31,
  PortalSuspended = 0x73,
  ReadyForQuery = 0x5a,
  RowDescription = 0x54,
}

/** Transaction status in ReadyForQuery. */
export enum TransactionStatus {
  Idle = 'I',
  InTransaction = 'T',
  Failed = 'E',
}

const STATUS_OFFSET = 5;
const STATUSES: ReadonlyMap<string, TransactionStatus> = new Map(
  Object.values(TransactionStatus).map((status) => [status, status]),
);

/** Reads the transaction status of a ReadyForQuery message. */
export function transactionStatusOf(ready: Buffer): TransactionStatus {
  const code = String.fromCharCode(ready[STATUS_OFFSET] ?? 0);
  return STATUSES.get(code) ?? TransactionStatus.Idle;
}
