/** Exit codes of the `gladespoolctl` command. */
export enum ExitCode {
  Ok = 0,
  /** The request was refused and nothing was changed, or a zone lags behind the store's version. */
  Refused = 1,
  /** The file or an argument is invalid. */
  BadInput = 2,
  /** The store did not answer; the outcome is unknown. */
  StoreFailed = 3,
}
