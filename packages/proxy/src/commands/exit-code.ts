/** Exit codes of the `gladespool` command. */
export enum ExitCode {
  Ok = 0,
  /** A fault while running. */
  Fault = 1,
  /** The settings have faults. */
  BadSettings = 2,
  /** An address can't be listened on. */
  CannotListen = 3,
}
