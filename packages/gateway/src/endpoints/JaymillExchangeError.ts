import { ErrorDetails, ErrorKind, JaymillError, RanState } from '@jaymill/core'

/** How an exchange with another process failed. */
export enum ExchangeFailure {
  /** No connection could be made; nothing was sent. */
  Connect = 'connect',
  /** The connection ended before the whole answer. */
  Broken = 'broken',
  /** What arrived is no answer, or belongs to another request. */
  Malformed = 'malformed',
  /** Nothing arrived in time. */
  Silent = 'silent',
  /** The exchange was given up on this side. */
  Cancelled = 'cancelled'
}

/** A call to another process that gave no usable answer. */
export class ExchangeError extends JaymillError {
  readonly kind = ErrorKind.EndpointFailed
  readonly status = 502
  readonly failure: ExchangeFailure

  /**
   * @param failure - How it failed.
   * @param message - Explanation for a person.
   * @param details - Effect and cause.
   */
  constructor (failure: ExchangeFailure, message: string, details: ErrorDetails = {}) {
    super(message, { ...details, ran: details.ran ?? (failure === ExchangeFailure.Connect ? RanState.No : RanState.Unknown) })
    this.failure = failure
  }
}
