import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AccountConfig, ErrorKind, RanState, RequestError, RouteConfig } from '@jaymill/core'
import type { CallerHeaders } from './JaymillCallerRequest.js'
import { deadlineSignal } from './JaymillServiceCall.js'

const SHORTEST_DEADLINE_MS = 1

/** One request of a caller with its response. */
export interface CallerExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly headers: CallerHeaders
  readonly account: AccountConfig
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal
}

/** A signal with the time at which it aborts. */
export interface Deadline {
  readonly signal: AbortSignal
  /** Budget in milliseconds. */
  readonly budgetMs: number
}

/**
 * Makes a signal that aborts when the caller's connection closes before the answer is complete.
 *
 * @param res - Response to the caller.
 * @returns The signal; its reason is a RequestError of kind `CallerGone`.
 */
export function callerSignal (res: ServerResponse): AbortSignal {
  const controller = new AbortController()
  res.once('close', () => {
    if (!res.writableFinished) {
      controller.abort(new RequestError(ErrorKind.CallerGone, 'the caller closed the connection', { ran: RanState.Unknown }))
    }
  })
  return controller.signal
}

/**
 * Writes to the caller and waits while its connection is full.
 *
 * @param res - Response to the caller.
 * @param chunk - Text or bytes.
 * @param stallMs - Longest time for which the caller may read nothing, in milliseconds.
 * @param signal - Gives up.
 * @throws RequestError of kind `CallerGone` when the caller reads nothing for too long.
 */
export async function writeToCaller (
  res: ServerResponse, chunk: string | Uint8Array, stallMs: number, signal: AbortSignal
): Promise<void> {
  if (res.write(chunk)) return
  const stalled = new AbortController()
  const timer = setTimeout(() => stalled.abort(), stallMs)
  try {
    await once(res, 'drain', { signal: AbortSignal.any([signal, stalled.signal]) })
  } catch (err) {
    signal.throwIfAborted()
    res.destroy()
    throw new RequestError(ErrorKind.CallerGone, `the caller has read nothing for ${stallMs} ms`, { ran: RanState.Unknown, cause: err })
  } finally {
    clearTimeout(timer)
  }
}

/**
 * Joins the caller's signal with the deadline of the request.
 *
 * @param exchange - Request of a caller.
 * @param route - Route with its own deadline; the caller may ask for a shorter one.
 * @param owner - Releases the timer when it aborts.
 * @returns The joined deadline; past it the reason is a RequestError of kind `Deadline`.
 */
export function withDeadline (exchange: CallerExchange, route: RouteConfig, owner: AbortSignal): Deadline {
  const budgetMs = Math.max(SHORTEST_DEADLINE_MS, Math.min(route.deadlineMs, exchange.headers.deadlineMs ?? Infinity))
  return { signal: deadlineSignal(budgetMs, [exchange.signal], owner), budgetMs }
}
