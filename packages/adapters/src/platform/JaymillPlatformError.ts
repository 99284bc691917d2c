import { ErrorKind, JaymillError } from '@jaymill/core'

/** Why a published value could not be read. */
export enum PlatformFailure {
  Unreachable = 'unreachable',
  Timeout = 'timeout',
  Status = 'status',
  NotFound = 'not-found',
  TooLarge = 'too-large',
  BadAnswer = 'bad-answer',
  IndexWentBack = 'index-went-back'
}

/** A published value could not be read; the last one stays in force. */
export class PlatformError extends JaymillError {
  readonly kind = ErrorKind.Platform
  readonly status = 503
  /** Why it failed. */
  readonly failure: PlatformFailure

  /**
   * @param failure - Why it failed.
   * @param message - Explanation for a person.
   * @param cause - Underlying failure.
   */
  constructor (failure: PlatformFailure, message: string, cause?: unknown) {
    super(message, { cause })
    this.failure = failure
  }
}

/** Told of each failed read. */
export type PlatformFailureListener = (failure: PlatformError) => void
