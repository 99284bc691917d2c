import { EndpointRole, ReservationRequest, PLAN_START, PlanAction, PlanEndReason, PlanState } from '@jaymill/core'
import type { PolicyHost, HeldCapacity, HostSetup, QueuedWork } from './JaymillPolicyHost.js'
import { FigureCollector, WasteCause } from './JaymillPolicyFigures.js'
import { HELD_LIMIT_MS, PolicySite } from './JaymillPolicySite.js'

/** What drives the attempts of one host. */
export interface AttemptSetup {
  readonly site: PolicySite
  readonly setup: HostSetup
  readonly host: PolicyHost
  readonly figures: FigureCollector
}

/** How a booking round ended. */
export enum RoundEnd {
  /** The prefill runs; the request leaves the queue. */
  Started = 'started',
  /** Nothing could be booked; the request goes back to the queue. */
  NotBooked = 'not-booked'
}

const DECODE_RETRY_MS = 10
const KV_LIFE_MS = 800
const STEP_MS = 28

/** One attempt at a request, driven by the policy's reservation planner. */
export class PolicyAttempt {
  private readonly _on: AttemptSetup
  private readonly _item: QueuedWork
  private readonly _number: number
  private readonly _onRound: (end: RoundEnd) => void
  private _state: PlanState = PLAN_START
  private _decode: HeldCapacity | null = null
  private _prefill: HeldCapacity | null = null
  private _stopPrefill: () => void = () => {}
  private _kvUntilMs = Number.POSITIVE_INFINITY
  private _prefillStarted = false
  private _decodeStarted = false
  private _goneAtMs: number | null = null

  constructor (on: AttemptSetup, item: QueuedWork, number: number, onRound: (end: RoundEnd) => void) {
    this._on = on
    this._item = item
    this._number = number
    this._onRound = onRound
  }

  /** Takes the next step of the plan. */
  drive (): void {
    if (!this._on.host.alive) return
    const action = this._on.setup.policy.reservation.next(this._state)
    if (action === PlanAction.ReserveDecode) this._book(EndpointRole.Decode)
    if (action === PlanAction.ReservePrefill) this._book(EndpointRole.Prefill)
    if (action === PlanAction.RunPrefill) this._runPrefill()
    if (action === PlanAction.RunDecode) this._runDecode()
    if (action === PlanAction.ReleaseAll) this._releaseAll()
  }

  /** The caller has gone away. */
  cancel (): void {
    this._goneAtMs = this._on.setup.loop.nowMs
    this._end(PlanEndReason.CallerGone)
  }

  /** The host of this attempt was killed. */
  hostKilled (): void {
    this._goneAtMs = this._on.setup.loop.nowMs
    if (this._state.ended === null) this._countWaste(WasteCause.Fault)
  }

  private _book (stage: EndpointRole): void {
    this._on.host.bookSlot(this._request(stage), held => {
      if (this._state.ended !== null) {
        held?.release()
        return
      }
      if (held === null) {
        this._notBooked()
        return
      }
      const decode = stage === EndpointRole.Decode
      if (decode) this._decode = held
      else this._prefill = held
      this._state = { ...this._state, ...(decode ? { decodeReserved: true } : { prefillReserved: true }) }
      this.drive()
    })
  }

  private _notBooked (): void {
    if (this._state.prefillDone) {
      this._retryDecode()
      return
    }
    this._end(PlanEndReason.Refused)
    this._onRound(RoundEnd.NotBooked)
  }

  private _retryDecode (): void {
    if (this._on.setup.loop.nowMs < this._kvUntilMs) {
      this._on.setup.loop.after(DECODE_RETRY_MS, () => this.drive())
      return
    }
    this._end(PlanEndReason.Refused)
  }

  private _runPrefill (): void {
    const { setup, figures } = this._on
    const tokens = this._item.work.promptTokens
    this._prefillStarted = true
    figures.prefilled(tokens)
    this._onRound(RoundEnd.Started)
    const endpointId = this._prefill?.endpointId ?? ''
    const engine = setup.fleet.prefill.get(endpointId)
    const startedMs = setup.loop.nowMs
    this._stopPrefill = engine?.run(tokens, () => {
      this._on.host.health.prefilled(endpointId, setup.loop.nowMs - startedMs, tokens / this._on.site.prefillTokensPerMs)
      this._prefill?.release()
      this._kvUntilMs = setup.loop.nowMs + KV_LIFE_MS
      this._state = { ...this._state, prefillDone: true }
      this.drive()
    }) ?? (() => {})
  }

  private _runDecode (): void {
    const { setup, site } = this._on
    const bytes = this._item.work.promptTokens * site.kvBytesPerToken
    const engine = setup.fleet.decode.get(this._decode?.endpointId ?? '')
    setup.fleet.link.transfer(bytes, () => {
      if (this._state.ended !== null || !this._on.host.alive) return
      if (setup.loop.nowMs <= this._kvUntilMs && engine?.start(this._engineRequest()) === true) {
        this._decodeStarted = true
        return
      }
      this._on.figures.overruns += 1
      this._decode?.release()
      this._state = { ...this._state, decodeReserved: false }
      this._retryDecode()
    })
  }

  private _engineRequest (): Parameters<NonNullable<ReturnType<HostSetup['fleet']['decode']['get']>>['start']>[0] {
    const { work } = this._item
    const watch = this._on.host.health.tokenWatch(this._decode?.endpointId ?? '')
    return {
      requestId: work.id,
      attempt: this._number,
      hostId: this._on.host.id,
      incarnation: 1,
      pieces: this._pieces,
      tokens: work.answerTokens,
      onToken: () => { watch(); this._token() },
      onEnd: () => {
        if (this._state.ended !== null) return
        if (this._on.host.alive) this._on.figures.finished(work)
        this._end(PlanEndReason.Finished)
      }
    }
  }

  private _token (): void {
    const { setup, figures, host } = this._on
    if (host.alive && this._state.ended === null) figures.token(this._item.work, setup.loop.nowMs)
    const late = this._goneAtMs !== null && setup.loop.nowMs - this._goneAtMs > HELD_LIMIT_MS
    if (!late) return
    figures.heldTooLong.add(this._item.id)
  }

  private _end (end: PlanEndReason): void {
    if (this._state.ended !== null) return
    this._state = { ...this._state, ended: end }
    this.drive()
  }

  private _releaseAll (): void {
    const { setup } = this._on
    const engine = setup.fleet.decode.get(this._decode?.endpointId ?? '')
    if (this._decodeStarted) engine?.cancel(this._item.id)
    if (!this._state.prefillDone) this._stopPrefill()
    this._decode?.release()
    this._prefill?.release()
    this._countWaste(this._state.ended === PlanEndReason.CallerGone ? WasteCause.Caller : WasteCause.Policy)
  }

  private _countWaste (cause: WasteCause): void {
    if (this._prefillStarted && !this._decodeStarted) this._on.figures.wasted(this._item.work.promptTokens, cause)
  }

  private _request (stage: EndpointRole): ReservationRequest {
    const { site, setup, host } = this._on
    const { work } = this._item
    const decode = stage === EndpointRole.Decode
    const prefillMs = work.promptTokens / site.prefillTokensPerMs
    return {
      requestId: work.id,
      attempt: this._number,
      stage,
      hostId: host.id,
      incarnation: 1,
      nonce: host.id,
      pieces: decode ? this._pieces : 0,
      transferBytes: decode ? work.promptTokens * site.kvBytesPerToken : 0,
      startInMs: decode ? setup.policy.reservation.decodeStartInMs(prefillMs) : 0,
      expectedMs: decode ? work.answerTokens * STEP_MS : prefillMs
    }
  }

  private get _pieces (): number {
    return Math.ceil((this._item.work.promptTokens + this._item.work.answerTokens) / this._on.site.tokensPerPiece)
  }
}
