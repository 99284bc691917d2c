import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { ErrorKind, RanState, RequestError, RequestEvent, RequestRecord, ServiceMatch, UnknownReason } from '@jaymill/core'
import { v7 as mintKey } from 'uuid'
import { readBody } from '../callers/JaymillBody.js'
import { CallerExchange, withDeadline } from '../callers/JaymillCallerExchange.js'
import { entryRefusal } from '../callers/JaymillEntryRefusal.js'
import { forwardedHeaders } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import { RECALL_TIMEOUT_MS, RETRY_INTERVAL_MS, RETRY_TIME_LIMIT_MS, UNDECIDED_RETRY_AFTER_MS } from './constants.js'
import { forwardArrival } from './JaymillForwardClient.js'
import { KeyedArrival, toKeyedRequest } from './JaymillKeyedArrival.js'
import { OwnedRequests } from './JaymillOwnedRequests.js'
import { UndecidedError } from './JaymillUndecidedError.js'

/** Handles, on the entry host, requests that must run at most once: finds the owner of the key and forwards the request to it. */
export class KeyedRequests {
  private readonly _ctx: HostContext
  private readonly _ownedRequests: OwnedRequests

  /**
   * @param ctx - Shared components of the host.
   * @param ownedRequests - Requests whose keys this host owns.
   */
  constructor (ctx: HostContext, ownedRequests: OwnedRequests) {
    this._ctx = ctx
    this._ownedRequests = ownedRequests
  }

  /**
   * Serves one request of a caller. If it has no idempotency key, this host mints one for it.
   *
   * @param exchange - Request of a caller.
   * @param match - Service and route.
   * @param record - Record of the request.
   * @throws RequestError that states whether the request ran.
   */
  async handle (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord): Promise<void> {
    const controller = new AbortController()
    const { signal } = withDeadline(exchange, match.route, controller.signal)
    try {
      const arrival = await this._createArrival(exchange, match, record)
        .catch((err: unknown) => { throw entryRefusal(err, exchange.headers.idempotencyKey) })
      await this._dispatchWithRetries(arrival, exchange.res, signal)
    } finally {
      controller.abort()
    }
  }

  private async _createArrival (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord): Promise<KeyedArrival> {
    const { req, headers, account } = exchange
    return {
      requestId: headers.requestId,
      accountId: account.id,
      key: headers.idempotencyKey ?? mintKey(),
      minted: headers.idempotencyKey === undefined,
      recall: false,
      forwarded: false,
      match,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: forwardedHeaders(req),
      body: await readBody(req, exchange.res, this._ctx),
      record
    }
  }

  private async _dispatchWithRetries (first: KeyedArrival, res: ServerResponse, signal: AbortSignal): Promise<void> {
    const retryUntilMs = this._ctx.clock.nowMs() + RETRY_TIME_LIMIT_MS
    let arrival = first
    while (true) {
      try {
        return await this._dispatch(arrival, res, signal)
      } catch (err) {
        const next = this._nextAttempt(arrival, err, res)
        if (next === undefined || this._ctx.clock.nowMs() >= retryUntilMs) throw toCallerError(arrival, err)
        arrival = next
        arrival.record?.decide(RequestEvent.Retry, (err as Error).message, this._ctx.clock.nowMs())
        await sleep(RETRY_INTERVAL_MS, undefined, { signal }).catch(() => { throw signal.reason })
      }
    }
  }

  /**
   * Returns the arrival for the next attempt, or `undefined` if the error is final. Sending the same key again is safe because
   * its owner runs it at most once.
   */
  private _nextAttempt (arrival: KeyedArrival, err: unknown, res: ServerResponse): KeyedArrival | undefined {
    if (res.headersSent || res.destroyed) return undefined
    if (err instanceof UndecidedError && err.canRetry(arrival)) return arrival.minted ? { ...arrival, key: mintKey() } : arrival
    if (!(err instanceof RequestError) || err.kind !== ErrorKind.PeerFailed) return undefined
    if (err.ran !== RanState.No) return { ...arrival, minted: false }
    return arrival.minted ? { ...arrival, key: mintKey() } : arrival
  }

  private async _dispatch (arrival: KeyedArrival, res: ServerResponse, signal: AbortSignal): Promise<void> {
    const { owner } = this._ctx.keys
    const ownerId = owner.ownerOf(toKeyedRequest(arrival))
    if (ownerId === undefined) throw new UndecidedError(UnknownReason.Recovering, arrival.minted)
    await this._dispatchTo(ownerId, arrival, res, signal).catch(async (err: unknown) => {
      if (!isBeforeTakeOver(err) || arrival.minted) throw err
      await this._recallFromFormerOwners(
        owner.formerOwnersOf(toKeyedRequest(arrival)), { ...arrival, recall: true }, err, res, signal
      )
    })
  }

  private async _dispatchTo (ownerId: string, arrival: KeyedArrival, res: ServerResponse, signal: AbortSignal): Promise<void> {
    if (ownerId === this._ctx.identity.id) return await this._ownedRequests.serve(arrival, res)
    const url = this._ctx.keys.urlOf(ownerId)
    if (url === undefined) throw new RequestError(ErrorKind.PeerFailed, `the address of host ${ownerId} is not known`)
    arrival.record?.decide(RequestEvent.Forward, `owner of the key is ${ownerId}`, this._ctx.clock.nowMs())
    const { callerStallMs } = this._ctx.settings.limits
    await forwardArrival(this._ctx.peers.clientAt(ownerId, url), arrival, res, callerStallMs, signal)
  }

  private async _recallFromFormerOwners (
    formerOwners: readonly string[], arrival: KeyedArrival, undecided: UndecidedError, res: ServerResponse, signal: AbortSignal
  ): Promise<void> {
    for (const hostId of formerOwners) {
      const recallSignal = AbortSignal.any([signal, AbortSignal.timeout(RECALL_TIMEOUT_MS)])
      const err = await this._dispatchTo(hostId, arrival, res, recallSignal).then(() => undefined, (reason: unknown) => reason)
      if (err === undefined || res.headersSent) return
      if (err instanceof RequestError && !(err instanceof UndecidedError) && err.kind !== ErrorKind.PeerFailed) throw err
    }
    throw undecided
  }
}

function isBeforeTakeOver (err: unknown): err is UndecidedError {
  return err instanceof UndecidedError && err.reason === UnknownReason.BeforeTakeOver
}

/** If the owner of a key sent by the caller was unreachable, the outcome is unknown: only the owner can report "not run". */
function toCallerError (arrival: KeyedArrival, err: unknown): unknown {
  if (!(err instanceof RequestError) || err.kind !== ErrorKind.PeerFailed) return err
  const ran = arrival.minted && err.ran === RanState.No ? RanState.No : RanState.Unknown
  return new RequestError(ErrorKind.OutcomeUnknown, `the owner of the key is unreachable: ${err.message}`, {
    ran, retryAfterMs: UNDECIDED_RETRY_AFTER_MS, cause: err
  })
}
