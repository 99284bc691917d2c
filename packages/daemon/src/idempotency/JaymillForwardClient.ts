import type { ServerResponse } from 'node:http'
import type { PeerClient } from '@jaymill/adapters'
import { ErrorKind, RanState, RequestError, UnknownReason, fromProblem } from '@jaymill/core'
import { writeToCaller } from '../callers/JaymillCallerExchange.js'
import { writeRelayedHead } from '../callers/JaymillRelayedResponse.js'
import { responseHeaders } from '../callers/JaymillServiceCall.js'
import { ACCOUNT_HEADER, KEY_HEADER, MINTED_HEADER, PROBLEM_HEADER, REASON_HEADER, RECALL_HEADER } from './constants.js'
import type { KeyedArrival } from './JaymillKeyedArrival.js'
import { UndecidedError } from './JaymillUndecidedError.js'

type OwnerResponse = Awaited<ReturnType<PeerClient['forward']>>

/**
 * Forwards an arrival to the owner of its key and relays the response to the caller.
 *
 * @param client - Client of the owner.
 * @param arrival - Arrival.
 * @param res - Response to the caller.
 * @param stallMs - Longest time for which the caller may read nothing, in milliseconds.
 * @param signal - Cancels the relay; the owner continues to run the request.
 * @throws RequestError as reported by the owner, or of kind `PeerFailed`.
 */
export async function forwardArrival (
  client: PeerClient, arrival: KeyedArrival, res: ServerResponse, stallMs: number, signal: AbortSignal
): Promise<void> {
  const flag = (value: boolean): string => value ? '1' : '0'
  const headers = {
    ...arrival.headers,
    'x-request-id': arrival.requestId,
    [ACCOUNT_HEADER]: arrival.accountId,
    [KEY_HEADER]: arrival.key,
    [MINTED_HEADER]: flag(arrival.minted),
    [RECALL_HEADER]: flag(arrival.recall)
  }
  const method = arrival.method as Parameters<PeerClient['forward']>[0]['method']
  const ownerResponse = await client.forward({ path: arrival.path.slice(1), method, headers, body: arrival.body }, signal)
  if (ownerResponse.headers[PROBLEM_HEADER] !== undefined) throw await readProblem(ownerResponse, arrival)
  await pipe(ownerResponse, res, stallMs, signal)
}

async function readProblem (ownerResponse: OwnerResponse, arrival: KeyedArrival): Promise<RequestError> {
  const reason = Object.values(UnknownReason).find(value => value === ownerResponse.headers[REASON_HEADER])
  const problem = fromProblem(await ownerResponse.body.json())
  if (reason !== undefined) return new UndecidedError(reason, arrival.minted)
  return problem ?? new RequestError(ErrorKind.PeerFailed, 'the error response of the key owner has no problem document', {
    ran: RanState.Unknown
  })
}

async function pipe (ownerResponse: OwnerResponse, res: ServerResponse, stallMs: number, signal: AbortSignal): Promise<void> {
  writeRelayedHead(res, { status: ownerResponse.statusCode, headers: responseHeaders(ownerResponse.headers) })
  for await (const chunk of ownerResponse.body) {
    await writeToCaller(res, chunk, stallMs, signal)
  }
  res.end()
}
