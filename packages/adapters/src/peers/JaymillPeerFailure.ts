import { ErrorKind, fromProblem, JaymillError, RanState, RequestError } from '@jaymill/core'
import { TRPCClientError } from '@trpc/client'

const NOT_SENT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

/**
 * Converts the failure of a call to a typed error.
 *
 * @param err - Failure of the transport, of tRPC or of the validation of the response.
 * @returns The error that the peer reported, or one of kind `PeerFailed` whose `ran` states whether the call may have run.
 */
export function toPeerError (err: unknown): JaymillError {
  const typedError = causes(err).find(cause => cause instanceof JaymillError)
  const peerError = err instanceof TRPCClientError ? fromProblem(err.data?.problem) : undefined
  return typedError ?? peerError ??
    new RequestError(ErrorKind.PeerFailed, `peer call failed: ${messageOf(err)}`, { ran: ranState(err), cause: err })
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
