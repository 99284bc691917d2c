/** Exit codes of the command line. */
export enum ExitCode {
  /** The command succeeded. */
  Ok = 0,
  /** Problems, risks or an alarm were found, or a host is not ready. */
  Problems = 1,
  /** The command line or an input file is invalid. */
  Usage = 2,
  /** A host is unreachable or timed out. */
  Unreachable = 3,
  /** The host rejected the admin token. */
  Unauthorized = 4,
  /** The requested resource does not exist on the host. */
  NotFound = 5,
  /** The host rejected the request, or the command failed for another reason. */
  Refused = 6
}
