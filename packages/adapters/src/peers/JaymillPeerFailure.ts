import { ErrorKind, fromProblem, JaymillError, RanState, RequestError } from '@jaymill/core'
import { TRPCClientError } from '@trpc/client'

const NOT_SENT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

/**
 * Converts a failed call to a typed failure.
 *
 * @param err - Failure of the transport, of trpc or of the answer's check.
 * @returns The failure that the peer named, or one of kind `PeerFailed` with the effect as far as it is known.
 */
export function toPeerError (err: unknown): JaymillError {
  const typed = causes(err).find(cause => cause instanceof JaymillError)
  const named = err instanceof TRPCClientError ? fromProblem(err.data?.problem) : undefined
  return typed ?? named ?? new RequestError(ErrorKind.PeerFailed, `peer call failed: ${messageOf(err)}`, { ran: ranState(err), cause: err })
}

function ranState (err: unknown): RanState {
  return causes(err).some(cause => NOT_SENT_CODES.includes(codeOf(cause))) ? RanState.No : RanState.Unknown
}

function causes (err: unknown): readonly unknown[] {
  return err instanceof Error ? [err, ...causes(err.cause)] : []
}

function codeOf (err: unknown): string {
  return String((err as { code?: unknown }).code ?? '')
}

function messageOf (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}
