/** Exit codes of the command line. */
export enum ExitCode {
  /** Everything is in order. */
  Ok = 0,
  /** Problems, risks or an alarm were found, or a host is not ready. */
  Problems = 1,
  /** The command line or an input file can't be used. */
  Usage = 2,
  /** A host did not answer. */
  Unreachable = 3,
  /** The admin token was refused. */
  Unauthorized = 4,
  /** The host does not know what was asked for. */
  NotFound = 5,
  /** The host refused or failed for another reason. */
  Refused = 6
}
