/** Exit codes of the `gladespoolctl` command. */
export enum ExitCode {
  Ok = 0,
  /** Refused: nothing was changed. */
  Refused = 1,
  /** The file or an argument is faulty. */
  BadInput = 2,
  /** The store did not answer; the outcome could not be learned. */
  StoreFailed = 3,
}
