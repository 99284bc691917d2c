import { ErrorKind, JaymillError } from '@jaymill/core'
import { ExitCode } from './JaymillExitCode.js'

/** Error of a command, shown to the operator without a stack trace. */
export class CliError extends JaymillError {
  readonly kind = ErrorKind.BadRequest
  readonly status = 400
  /** Exit code of the process. */
  readonly exitCode: ExitCode

  /**
   * @param exitCode - Exit code of the process.
   * @param message - Description for the operator.
   * @param cause - Underlying error.
   */
  constructor (exitCode: ExitCode, message: string, cause?: unknown) {
    super(message, { cause })
    this.exitCode = exitCode
  }
}
