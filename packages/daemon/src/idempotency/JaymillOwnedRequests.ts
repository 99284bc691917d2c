import {
  ReservationHandle, DecisionKind, ErrorKind, JaymillError, KeptAnswer, RanState, RequestError, RequestEvent, RunPermit,
  UnknownReason
} from '@jaymill/core'
import type { Decision } from '@jaymill/core'
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { HostContext } from '../JaymillHostContext.js'
import { bookService, callService, deadlineSignal } from '../callers/JaymillServiceCall.js'
import { relayAnswer, sendKept } from './JaymillAnswerRelay.js'
import { PATIENCE_MS, RETRY_MS } from './constants.js'
import { KeyedArrival, toKeyedRequest } from './JaymillKeyedArrival.js'
import { UndecidedError } from './JaymillUndecidedError.js'

/** Serves requests whose keys this host owns: runs each at most once, and answers resends from memory. */
export class OwnedRequests {
  private readonly _ctx: HostContext
  private readonly _signal: AbortSignal
  private readonly _running = new Map<string, Promise<void>>()

  /**
   * @param ctx - Shared parts of the host.
   * @param signal - Ends all calls.
   */
  constructor (ctx: HostContext, signal: AbortSignal) {
    this._ctx = ctx
    this._signal = signal
  }

  /** Requests that run now. */
  get running (): number {
    return this._running.size
  }

  /** Waits until no request runs. */
  async idle (): Promise<void> {
    while (this._running.size > 0) await Promise.all(this._running.values())
  }

  /**
   * Serves one arrival.
   *
   * @param arrival - Arrival at this host, or forwarded by another.
   * @param res - Receives the answer.
   * @throws RequestError that says whether the request ran.
   */
  async serve (arrival: KeyedArrival, res: ServerResponse): Promise<void> {
    const decision = this._ctx.keys.count(this._decide(arrival))
    if (decision.kind === DecisionKind.Run) return await this._track(arrival, decision.permit, res)
    if (decision.kind === DecisionKind.Join) return await this._join(arrival, decision.id, res)
    if (decision.kind === DecisionKind.Replay) return this._replay(arrival, decision.answer, res)
    throw refusalOf(decision, arrival)
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

  private _replay (arrival: KeyedArrival, answer: KeptAnswer | undefined, res: ServerResponse): void {
    if (answer === undefined) {
      throw new RequestError(ErrorKind.AlreadyRan, 'the request ran; its answer was not kept', { ran: RanState.Yes })
    }
    arrival.record?.decide(RequestEvent.Complete, 'replayed', this._ctx.clock.nowMs())
    sendKept(res, answer, arrival.requestId)
  }

  private async _run (arrival: KeyedArrival, permit: RunPermit, res: ServerResponse): Promise<void> {
    const owner = new AbortController()
    const signal = deadlineSignal(arrival.match.route.deadlineMs, [this._signal], owner.signal)
    try {
      const booking = await this._book(arrival, permit, signal)
      await this._send(arrival, permit, booking, signal, res).finally(() => this._ctx.booker.release(booking))
    } finally {
      owner.abort()
    }
  }

  private async _book (arrival: KeyedArrival, permit: RunPermit, signal: AbortSignal): Promise<ReservationHandle> {
    arrival.record?.decide(RequestEvent.Admit, 'owner of the key', this._ctx.clock.nowMs())
    return await this._awaitSlot(arrival, this._ctx.clock.nowMs() + PATIENCE_MS, signal).catch((err: unknown) => {
      this._ctx.keys.owner.refused(permit)
      throw err
    })
  }

  /** A refusal is final for the key, so a slot is worth waiting for while an endpoint changes its owner. */
  private async _awaitSlot (arrival: KeyedArrival, endMs: number, signal: AbortSignal): Promise<ReservationHandle> {
    while (true) {
      try {
        return await bookService(this._ctx, arrival.requestId, arrival.accountId, arrival.match, signal)
      } catch (err) {
        const full = err instanceof RequestError && err.kind === ErrorKind.Overloaded
        if (!full || this._ctx.clock.nowMs() >= endMs) throw err
        await sleep(RETRY_MS, undefined, { signal }).catch(() => { throw signal.reason })
      }
    }
  }

  private async _send (
    arrival: KeyedArrival, permit: RunPermit, booking: ReservationHandle, signal: AbortSignal, res: ServerResponse
  ): Promise<void> {
    const { owner, at } = this._ctx.keys
    if (!owner.mayRun(permit, at)) throw refusalOf({ kind: DecisionKind.NotRun }, arrival)
    arrival.record?.decide(RequestEvent.Execute, `owner ${booking.ownerId}`, this._ctx.clock.nowMs(), booking.endpointId)
    const reply = await callService(this._ctx, { ...arrival, idempotencyKey: arrival.key }, booking, signal)
      .catch((err: unknown) => { throw this._settleFailure(permit, err) })
    await relayAnswer(reply, arrival.requestId, res, this._ctx.settings.limits.callerStallMs, signal).then(
      kept => owner.ran(permit, kept),
      (err: unknown) => { owner.ran(permit); throw asRun(err) }
    )
    res.end()
  }

  private _settleFailure (permit: RunPermit, err: unknown): unknown {
    const { owner } = this._ctx.keys
    if (err instanceof JaymillError && err.ran === RanState.No) owner.refused(permit)
    else owner.lost(permit)
    return err
  }
}

function asRun (err: unknown): RequestError {
  const kind = err instanceof JaymillError ? err.kind : ErrorKind.EndpointFailed
  return new RequestError(kind, 'the request ran; its answer was cut short', { ran: RanState.Yes, cause: err })
}

function refusalOf (decision: Decision, arrival: KeyedArrival): RequestError {
  const kind = decision.kind
  if (kind === DecisionKind.Unknown) return new UndecidedError(decision.reason, arrival.minted)
  if (kind === DecisionKind.NotOwner) return new UndecidedError(UnknownReason.NotOwner, arrival.minted)
  if (kind === DecisionKind.KeyConflict) return new RequestError(ErrorKind.KeyConflict, 'the key belongs to a request with another body')
  if (kind === DecisionKind.KeyRefused) {
    return new RequestError(ErrorKind.KeyRefused, 'the key was minted ahead of this clock', { ran: RanState.Unknown })
  }
  return new RequestError(ErrorKind.EndpointRefused, 'the request did not run, and never will under this key; send a new key')
}
