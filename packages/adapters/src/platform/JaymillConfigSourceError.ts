import { ErrorKind, JaymillError } from '@jaymill/core'

/** Reason for which a published value could not be read. */
export enum ConfigSourceFailure {
  Unreachable = 'unreachable',
  Timeout = 'timeout',
  Status = 'status',
  NotFound = 'not-found',
  TooLarge = 'too-large',
  BadResponse = 'bad-answer',
  IndexWentBack = 'index-went-back'
}

/** Reports that a published value could not be read; the last value that was read stays active. */
export class ConfigSourceError extends JaymillError {
  readonly kind = ErrorKind.ConfigSource
  readonly status = 503
  /** Reason of the failure. */
  readonly failure: ConfigSourceFailure

  /**
   * @param failure - Reason of the failure.
   * @param message - Explanation for operators.
   * @param cause - Underlying failure.
   */
  constructor (failure: ConfigSourceFailure, message: string, cause?: unknown) {
    super(message, { cause })
    this.failure = failure
  }
}

/** Called after each failed read. */
export type ConfigSourceFailureListener = (failure: ConfigSourceError) => void
