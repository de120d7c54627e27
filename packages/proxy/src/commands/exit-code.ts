/** Exit codes of the `gladespool` command. */
export enum ExitCode {
  Ok = 0,
  /** A runtime error. */
  Fault = 1,
  /** The settings file is missing or invalid. */
  BadSettings = 2,
  /** Listening on an address or port failed. */
  CannotListen = 3,
}
