import type { ServerResponse } from 'node:http'
import type { PeerClient } from '@jaymill/adapters'
import { ErrorKind, RanState, RequestError, UnknownReason, fromProblem } from '@jaymill/core'
import { writeToCaller } from '../callers/JaymillCallerExchange.js'
import { answerHeaders } from '../callers/JaymillServiceCall.js'
import { ACCOUNT_HEADER, KEY_HEADER, MINTED_HEADER, PROBLEM_HEADER, REASON_HEADER, RECALL_HEADER } from './constants.js'
import type { KeyedArrival } from './JaymillKeyedArrival.js'
import { UndecidedError } from './JaymillUndecidedError.js'

type Reply = Awaited<ReturnType<PeerClient['forward']>>

/**
 * Passes an arrival to another host and its answer to the caller.
 *
 * @param client - Client of the owner.
 * @param arrival - Arrival.
 * @param res - Response to the caller.
 * @param stallMs - Longest time for which the caller may read nothing, in milliseconds.
 * @param signal - Gives up; the owner goes on by itself.
 * @throws RequestError as the owner named it, or of kind `PeerFailed`.
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
  const reply = await client.forward({ path: arrival.path.slice(1), method, headers, body: arrival.body }, signal)
  if (reply.headers[PROBLEM_HEADER] !== undefined) throw await problemOf(reply, arrival)
  await pipe(reply, res, stallMs, signal)
}

async function problemOf (reply: Reply, arrival: KeyedArrival): Promise<RequestError> {
  const reason = Object.values(UnknownReason).find(value => value === reply.headers[REASON_HEADER])
  const problem = fromProblem(await reply.body.json())
  if (reason !== undefined) return new UndecidedError(reason, arrival.minted)
  return problem ?? new RequestError(ErrorKind.PeerFailed, 'the owner answered without a problem document', { ran: RanState.Unknown })
}

async function pipe (reply: Reply, res: ServerResponse, stallMs: number, signal: AbortSignal): Promise<void> {
  res.writeHead(reply.statusCode, answerHeaders(reply.headers))
  for await (const chunk of reply.body) {
    await writeToCaller(res, chunk, stallMs, signal)
  }
  res.end()
}
