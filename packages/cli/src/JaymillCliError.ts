import { ErrorKind, JaymillError } from '@jaymill/core'
import { ExitCode } from './JaymillExitCode.js'

/** A command failed; shown to the operator without a stack trace. */
export class CliError extends JaymillError {
  readonly kind = ErrorKind.BadRequest
  readonly status = 400
  /** Exit code of the process. */
  readonly exitCode: ExitCode

  /**
   * @param exitCode - Exit code of the process.
   * @param message - Explanation for the operator.
   * @param cause - Underlying failure.
   */
  constructor (exitCode: ExitCode, message: string, cause?: unknown) {
    super(message, { cause })
    this.exitCode = exitCode
  }
}
