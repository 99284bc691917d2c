import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AccountConfig, ErrorKind, RanState, RequestError, RouteConfig } from '@jaymill/core'
import type { CallerHeaders } from './JaymillCallerRequest.js'
import { abortResponse } from './JaymillRelayedResponse.js'
import { deadlineSignal } from './JaymillServiceCall.js'

const MIN_DEADLINE_MS = 1

/** A request of a caller and its response. */
export interface CallerExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly headers: CallerHeaders
  readonly account: AccountConfig
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal
}

/** A signal that aborts at a deadline. */
export interface Deadline {
  readonly signal: AbortSignal
  /** Time from the start of the request to the deadline, in milliseconds. */
  readonly budgetMs: number
}

/**
 * Creates a signal that aborts when the caller's connection closes before the response is complete.
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
 * Writes a chunk to the caller and waits while the send buffer of the connection is full.
 *
 * @param res - Response to the caller.
 * @param chunk - Text or bytes.
 * @param stallMs - Maximum time without progress by the caller, in milliseconds.
 * @param signal - Cancels the wait.
 * @throws RequestError of kind `CallerGone` if the caller reads nothing for `stallMs`; its connection is closed.
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
    abortResponse(res, 0)
    throw new RequestError(ErrorKind.CallerGone, `the caller has read nothing for ${stallMs} ms`, {
      ran: RanState.Unknown, cause: err
    })
  } finally {
    clearTimeout(timer)
  }
}

/**
 * Combines the caller's signal with the deadline of the request.
 *
 * @param exchange - Request of a caller.
 * @param route - Route that sets the deadline; the caller may request a shorter one.
 * @param disposeSignal - Clears the timer when it aborts.
 * @returns The combined signal, whose reason at the deadline is a RequestError of kind `Deadline`, and its time limit.
 */
export function withDeadline (exchange: CallerExchange, route: RouteConfig, disposeSignal: AbortSignal): Deadline {
  const budgetMs = Math.max(MIN_DEADLINE_MS, Math.min(route.deadlineMs, exchange.headers.deadlineMs ?? Infinity))
  return { signal: deadlineSignal(budgetMs, [exchange.signal], disposeSignal), budgetMs }
}
