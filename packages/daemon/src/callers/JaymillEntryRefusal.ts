import { JaymillError, RanState, RequestError } from '@jaymill/core'

/**
 * States what an entry host may say of a request that it refuses before anything else has seen it. Another copy of a
 * request with a caller's idempotency key may have run through another host, so only the owner of the key may say "no".
 *
 * @param err - Refusal of this host.
 * @param idempotencyKey - Key that the caller sent.
 * @returns The refusal, with an unknown state when the caller sent a key.
 */
export function entryRefusal (err: unknown, idempotencyKey: string | undefined): unknown {
  if (idempotencyKey === undefined || !(err instanceof JaymillError) || err.ran !== RanState.No) return err
  return new RequestError(err.kind, err.message, { ran: RanState.Unknown, retryAfterMs: err.retryAfterMs, cause: err })
}
