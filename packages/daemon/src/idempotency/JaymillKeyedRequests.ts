import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { ErrorKind, RanState, RequestError, RequestEvent, RequestRecord, ServiceMatch, UnknownReason } from '@jaymill/core'
import { v7 as mintKey } from 'uuid'
import { readBody } from '../callers/JaymillBody.js'
import { CallerExchange, withDeadline } from '../callers/JaymillCallerExchange.js'
import { forwardedHeaders } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import { PATIENCE_MS, RECALL_TIMEOUT_MS, RESEND_AFTER_MS, RETRY_MS } from './constants.js'
import { forwardArrival } from './JaymillForwardClient.js'
import { KeyedArrival, toKeyedRequest } from './JaymillKeyedArrival.js'
import { OwnedRequests } from './JaymillOwnedRequests.js'
import { UndecidedError } from './JaymillUndecidedError.js'
import { entryRefusal } from '../callers/JaymillEntryRefusal.js'

/** Entry side of requests that must not run twice: finds the owner of the key and passes the request to it. */
export class KeyedRequests {
  private readonly _ctx: HostContext
  private readonly _owned: OwnedRequests

  /**
   * @param ctx - Shared parts of the host.
   * @param owned - Requests whose keys this host owns.
   */
  constructor (ctx: HostContext, owned: OwnedRequests) {
    this._ctx = ctx
    this._owned = owned
  }

  /**
   * Serves one request of a caller. Without a key it is its own request, under a key minted here.
   *
   * @param exchange - Request of a caller.
   * @param match - Service and route.
   * @param record - Record of the request.
   * @throws RequestError that says whether the request ran.
   */
  async handle (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord): Promise<void> {
    const owner = new AbortController()
    const { signal } = withDeadline(exchange, match.route, owner.signal)
    try {
      const arrival = await this._arrival(exchange, match, record)
        .catch((err: unknown) => { throw entryRefusal(err, exchange.headers.idempotencyKey) })
      await this._persist(arrival, exchange.res, signal)
    } finally {
      owner.abort()
    }
  }

  private async _arrival (exchange: CallerExchange, match: ServiceMatch, record: RequestRecord): Promise<KeyedArrival> {
    const { req, headers, account } = exchange
    return {
      requestId: headers.requestId,
      accountId: account.id,
      key: headers.idempotencyKey ?? mintKey(),
      minted: headers.idempotencyKey === undefined,
      recall: false,
      match,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: forwardedHeaders(req),
      body: await readBody(req, exchange.res, this._ctx),
      record
    }
  }

  private async _persist (first: KeyedArrival, res: ServerResponse, signal: AbortSignal): Promise<void> {
    const endMs = this._ctx.clock.nowMs() + PATIENCE_MS
    let arrival = first
    while (true) {
      try {
        return await this._pass(arrival, res, signal)
      } catch (err) {
        const next = this._nextTry(arrival, err, res)
        if (next === undefined || this._ctx.clock.nowMs() >= endMs) throw toCallerError(arrival, err)
        arrival = next
        arrival.record?.decide(RequestEvent.Retry, (err as Error).message, this._ctx.clock.nowMs())
        await sleep(RETRY_MS, undefined, { signal }).catch(() => { throw signal.reason })
      }
    }
  }

  /** A call between hosts may be repeated: its owner runs the key at most once. */
  private _nextTry (arrival: KeyedArrival, err: unknown, res: ServerResponse): KeyedArrival | undefined {
    if (res.headersSent || res.destroyed) return undefined
    if (err instanceof UndecidedError && err.mayPass(arrival)) return arrival.minted ? { ...arrival, key: mintKey() } : arrival
    if (!(err instanceof RequestError) || err.kind !== ErrorKind.PeerFailed) return undefined
    if (err.ran !== RanState.No) return { ...arrival, minted: false }
    return arrival.minted ? { ...arrival, key: mintKey() } : arrival
  }

  private async _pass (arrival: KeyedArrival, res: ServerResponse, signal: AbortSignal): Promise<void> {
    const { owner } = this._ctx.keys
    const ownerId = owner.ownerOf(toKeyedRequest(arrival))
    if (ownerId === undefined) throw new UndecidedError(UnknownReason.Recovering, arrival.minted)
    await this._passTo(ownerId, arrival, res, signal).catch(async (err: unknown) => {
      if (!isBeforeTakeOver(err) || arrival.minted) throw err
      await this._recall(owner.formerOwnersOf(toKeyedRequest(arrival)), { ...arrival, recall: true }, err, res, signal)
    })
  }

  private async _passTo (ownerId: string, arrival: KeyedArrival, res: ServerResponse, signal: AbortSignal): Promise<void> {
    if (ownerId === this._ctx.identity.id) return await this._owned.serve(arrival, res)
    const url = this._ctx.keys.urlOf(ownerId)
    if (url === undefined) throw new RequestError(ErrorKind.PeerFailed, `host ${ownerId} has no known address`)
    arrival.record?.decide(RequestEvent.Forward, `owner of the key is ${ownerId}`, this._ctx.clock.nowMs())
    const { callerStallMs } = this._ctx.settings.limits
    await forwardArrival(this._ctx.peers.clientAt(ownerId, url), arrival, res, callerStallMs, signal)
  }

  private async _recall (
    former: readonly string[], arrival: KeyedArrival, undecided: UndecidedError, res: ServerResponse, signal: AbortSignal
  ): Promise<void> {
    for (const hostId of former) {
      const wait = AbortSignal.any([signal, AbortSignal.timeout(RECALL_TIMEOUT_MS)])
      const err = await this._passTo(hostId, arrival, res, wait).then(() => undefined, (reason: unknown) => reason)
      if (err === undefined || res.headersSent) return
      if (err instanceof RequestError && !(err instanceof UndecidedError) && err.kind !== ErrorKind.PeerFailed) throw err
    }
    throw undecided
  }
}

function isBeforeTakeOver (err: unknown): err is UndecidedError {
  return err instanceof UndecidedError && err.reason === UnknownReason.BeforeTakeOver
}

/** Only an owner may say "not run" of a caller's key; an owner that wasn't reached has said nothing. */
function toCallerError (arrival: KeyedArrival, err: unknown): unknown {
  if (!(err instanceof RequestError) || err.kind !== ErrorKind.PeerFailed) return err
  const ran = arrival.minted && err.ran === RanState.No ? RanState.No : RanState.Unknown
  return new RequestError(ErrorKind.OutcomeUnknown, `the owner of the key was not reached: ${err.message}`, {
    ran, retryAfterMs: RESEND_AFTER_MS, cause: err
  })
}
