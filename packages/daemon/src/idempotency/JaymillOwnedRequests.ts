import {
  DecisionKind, ErrorKind, JaymillError, RanState, RequestError, RequestEvent, ReservationHandle, RunPermit, StoredResponse,
  UnknownReason
} from '@jaymill/core'
import type { Decision } from '@jaymill/core'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HostContext } from '../JaymillHostContext.js'
import { callService, deadlineSignal, reserveServiceSlot } from '../callers/JaymillServiceCall.js'
import { relayResponse, sendStoredResponse } from './JaymillResponseRelay.js'
import { RETRY_INTERVAL_MS, RETRY_TIME_LIMIT_MS } from './constants.js'
import { KeyedArrival, toKeyedRequest } from './JaymillKeyedArrival.js'
import { UndecidedError } from './JaymillUndecidedError.js'

/** Serves requests whose keys this host owns: runs each key at most once and replays the stored response to retries. */
export class OwnedRequests {
  private readonly _ctx: HostContext
  private readonly _signal: AbortSignal
  private readonly _running = new Map<string, Promise<void>>()

  /**
   * @param ctx - Shared components of the host.
   * @param signal - Cancels all calls.
   */
  constructor (ctx: HostContext, signal: AbortSignal) {
    this._ctx = ctx
    this._signal = signal
  }

  /** Number of requests that are running. */
  get running (): number {
    return this._running.size
  }

  /** Waits until no request is running. */
  async idle (): Promise<void> {
    while (this._running.size > 0) await Promise.all(this._running.values())
  }

  /**
   * Serves one arrival.
   *
   * @param arrival - Arrival at this host, or forwarded by another host.
   * @param res - Receives the response.
   * @throws RequestError that states whether the request ran.
   */
  async serve (arrival: KeyedArrival, res: ServerResponse): Promise<void> {
    const decision = this._ctx.keys.countDecision(this._decide(arrival))
    if (decision.kind === DecisionKind.Run) return await this._track(arrival, decision.permit, res)
    if (decision.kind === DecisionKind.Join) return await this._join(arrival, decision.id, res)
    if (decision.kind === DecisionKind.Replay) return this._replay(arrival, decision.response, res)
    throw toRefusal(decision, arrival)
  }

  private _decide (arrival: KeyedArrival): Decision {
    const { owner, at } = this._ctx.keys
    const req = toKeyedRequest(arrival)
    return arrival.recall ? owner.recall(req, at) : owner.begin(req, at)
  }

  private async _track (arrival: KeyedArrival, permit: RunPermit, res: ServerResponse): Promise<void> {
    const run = this._run(arrival, permit, res)
    const ended = run.then(() => {}, () => {}).finally(() => this._running.delete(permit.id))
    this._running.set(permit.id, ended)
    await run
  }

  private async _join (arrival: KeyedArrival, id: string, res: ServerResponse): Promise<void> {
    const running = this._running.get(id)
    if (running === undefined) throw new UndecidedError(UnknownReason.OutcomeLost, false)
    await running
    await this.serve(arrival, res)
  }

  private _replay (arrival: KeyedArrival, stored: StoredResponse | undefined, res: ServerResponse): void {
    if (stored === undefined) {
      throw new RequestError(ErrorKind.AlreadyRan, 'the request ran; its response is not stored', { ran: RanState.Yes })
    }
    arrival.record?.decide(RequestEvent.Complete, 'replayed', this._ctx.clock.nowMs())
    sendStoredResponse(res, stored, arrival.requestId)
  }

  private async _run (arrival: KeyedArrival, permit: RunPermit, res: ServerResponse): Promise<void> {
    const controller = new AbortController()
    const signal = deadlineSignal(arrival.match.route.deadlineMs, [this._signal], controller.signal)
    try {
      const reservation = await this._reserve(arrival, permit, signal)
      await this._send(arrival, permit, reservation, signal, res).finally(() => this._ctx.slotAllocator.release(reservation))
    } finally {
      controller.abort()
    }
  }

  private async _reserve (arrival: KeyedArrival, permit: RunPermit, signal: AbortSignal): Promise<ReservationHandle> {
    arrival.record?.decide(RequestEvent.Admit, 'owner of the key', this._ctx.clock.nowMs())
    return await this._reserveWithRetries(arrival, this._ctx.clock.nowMs() + RETRY_TIME_LIMIT_MS, signal)
      .catch((err: unknown) => {
        this._ctx.keys.owner.recordRefused(permit)
        throw err
      })
  }

  /**
   * Retries while the pool is full, for instance while the owner of an endpoint changes: a refusal would be final for the key.
   */
  private async _reserveWithRetries (
    arrival: KeyedArrival, retryUntilMs: number, signal: AbortSignal
  ): Promise<ReservationHandle> {
    while (true) {
      try {
        return await reserveServiceSlot(this._ctx, arrival.requestId, arrival.accountId, arrival.match, signal)
      } catch (err) {
        const full = err instanceof RequestError && err.kind === ErrorKind.Overloaded
        if (!full || this._ctx.clock.nowMs() >= retryUntilMs) throw err
        await sleep(RETRY_INTERVAL_MS, undefined, { signal }).catch(() => { throw signal.reason })
      }
    }
  }

  private async _send (
    arrival: KeyedArrival, permit: RunPermit, reservation: ReservationHandle, signal: AbortSignal, res: ServerResponse
  ): Promise<void> {
    const { owner, at } = this._ctx.keys
    if (!owner.tryMarkSent(permit, at)) throw toRefusal({ kind: DecisionKind.NotRun }, arrival)
    arrival.record?.decide(RequestEvent.Execute, `owner ${reservation.ownerId}`, this._ctx.clock.nowMs(), reservation.endpointId)
    const endpointResponse = await callService(this._ctx, { ...arrival, idempotencyKey: arrival.key }, reservation, signal)
      .catch((err: unknown) => { throw this._recordFailure(permit, err) })
    await relayResponse(endpointResponse, arrival, res, this._ctx.settings.limits.callerStallMs, signal).then(
      stored => owner.recordRan(permit, stored),
      (err: unknown) => { owner.recordRan(permit); throw toRanError(err) }
    )
    res.end()
  }

  private _recordFailure (permit: RunPermit, err: unknown): unknown {
    const { owner } = this._ctx.keys
    if (err instanceof JaymillError && err.ran === RanState.No) owner.recordRefused(permit)
    else owner.recordLost(permit)
    return err
  }
}

function toRanError (err: unknown): RequestError {
  const kind = err instanceof JaymillError ? err.kind : ErrorKind.EndpointFailed
  return new RequestError(kind, 'the request ran; its response was cut off', { ran: RanState.Yes, cause: err })
}

function toRefusal (decision: Decision, arrival: KeyedArrival): RequestError {
  const kind = decision.kind
  if (kind === DecisionKind.Unknown) return new UndecidedError(decision.reason, arrival.minted)
  if (kind === DecisionKind.NotOwner) return new UndecidedError(UnknownReason.NotOwner, arrival.minted)
  if (kind === DecisionKind.KeyConflict) return new RequestError(ErrorKind.KeyConflict, 'the key was already used for a different request')
  if (kind === DecisionKind.KeyRefused) {
    return new RequestError(ErrorKind.KeyRefused, 'the mint time of the key is ahead of the clock of this host', {
      ran: RanState.Unknown
    })
  }
  return new RequestError(
    ErrorKind.EndpointRefused, 'the request did not run and never will under this key; retry with a new key'
  )
}
