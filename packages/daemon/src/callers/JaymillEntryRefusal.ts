import { JaymillError, RanState, RequestError } from '@jaymill/core'

/**
 * Converts the error with which an entry host refuses a request before it is forwarded. Another attempt with the same
 * idempotency key may have run through another host, so only the owner of the key can report that the request did not run.
 *
 * @param err - Error of this host.
 * @param idempotencyKey - Key that the caller sent, if any.
 * @returns The error; if the caller sent a key, `ran` is `Unknown` instead of `No`.
 */
export function entryRefusal (err: unknown, idempotencyKey: string | undefined): unknown {
  if (idempotencyKey === undefined || !(err instanceof JaymillError) || err.ran !== RanState.No) return err
  return new RequestError(err.kind, err.message, { ran: RanState.Unknown, retryAfterMs: err.retryAfterMs, cause: err })
}
