import { EndpointRole, PlanAction, PlanEndReason, PlanState, PLAN_START, ReservationRequest } from '@jaymill/core'
import type { CapacityHandle, HostSetup, PolicyHost, QueuedWork } from './JaymillPolicyHost.js'
import { FigureCollector, WasteCause } from './JaymillPolicyFigures.js'
import { HELD_LIMIT_MS, PolicySite } from './JaymillPolicySite.js'

/** Dependencies of the attempts of one host. */
export interface AttemptContext {
  readonly site: PolicySite
  readonly setup: HostSetup
  readonly host: PolicyHost
  readonly figures: FigureCollector
}

/** Outcome of the reservation round of an attempt. */
export enum RoundOutcome {
  /** The prefill has started; the request leaves the queue. */
  Started = 'started',
  /** No capacity was reserved; the request returns to the queue. */
  NotReserved = 'not-booked'
}

const DECODE_RETRY_MS = 10
const KV_TTL_MS = 800
const EXPECTED_STEP_MS = 28

/** One attempt at a request, driven by the policy's reservation planner. */
export class PolicyAttempt {
  private readonly _context: AttemptContext
  private readonly _item: QueuedWork
  private readonly _attemptNumber: number
  private readonly _onRoundEnd: (outcome: RoundOutcome) => void
  private _state: PlanState = PLAN_START
  private _decodeHandle: CapacityHandle | null = null
  private _prefillHandle: CapacityHandle | null = null
  private _cancelPrefill: () => void = () => {}
  private _kvExpiresAtMs = Number.POSITIVE_INFINITY
  private _prefillStarted = false
  private _decodeStarted = false
  private _abandonedAtMs: number | null = null

  /**
   * @param context - Dependencies of the attempt.
   * @param item - Queue entry of the request.
   * @param attemptNumber - Number of the attempt at this request, from 1.
   * @param onRoundEnd - Called once with the outcome of the reservation round, unless the attempt ends before.
   */
  constructor (context: AttemptContext, item: QueuedWork, attemptNumber: number, onRoundEnd: (outcome: RoundOutcome) => void) {
    this._context = context
    this._item = item
    this._attemptNumber = attemptNumber
    this._onRoundEnd = onRoundEnd
  }

  /** Performs the next action of the plan. */
  advance (): void {
    if (!this._context.host.alive) return
    const action = this._context.setup.policy.planner.next(this._state)
    if (action === PlanAction.ReserveDecode) this._reserve(EndpointRole.Decode)
    if (action === PlanAction.ReservePrefill) this._reserve(EndpointRole.Prefill)
    if (action === PlanAction.RunPrefill) this._runPrefill()
    if (action === PlanAction.RunDecode) this._runDecode()
    if (action === PlanAction.ReleaseAll) this._releaseAll()
  }

  /** Ends the attempt because the caller disconnected. */
  cancel (): void {
    this._abandonedAtMs = this._context.setup.loop.nowMs
    this._end(PlanEndReason.CallerGone)
  }

  /** Records that the host of this attempt was killed, and counts an unused prefill as wasted. */
  recordHostKilled (): void {
    this._abandonedAtMs = this._context.setup.loop.nowMs
    if (this._state.ended === null) this._recordWaste(WasteCause.Fault)
  }

  private _reserve (role: EndpointRole): void {
    this._context.host.reserve(this._reservationRequest(role), handle => {
      if (this._state.ended !== null) {
        handle?.release()
        return
      }
      if (handle === null) {
        this._handleRefusal()
        return
      }
      const decode = role === EndpointRole.Decode
      if (decode) this._decodeHandle = handle
      else this._prefillHandle = handle
      this._state = { ...this._state, ...(decode ? { decodeReserved: true } : { prefillReserved: true }) }
      this.advance()
    })
  }

  private _handleRefusal (): void {
    if (this._state.prefillDone) {
      this._retryDecode()
      return
    }
    this._end(PlanEndReason.Refused)
    this._onRoundEnd(RoundOutcome.NotReserved)
  }

  private _retryDecode (): void {
    if (this._context.setup.loop.nowMs < this._kvExpiresAtMs) {
      this._context.setup.loop.after(DECODE_RETRY_MS, () => this.advance())
      return
    }
    this._end(PlanEndReason.Refused)
  }

  private _runPrefill (): void {
    const { setup, figures } = this._context
    const tokens = this._item.work.promptTokens
    this._prefillStarted = true
    figures.recordPrefill(tokens)
    this._onRoundEnd(RoundOutcome.Started)
    const endpointId = this._prefillHandle?.endpointId ?? ''
    const engine = setup.fleet.prefill.get(endpointId)
    const startedMs = setup.loop.nowMs
    this._cancelPrefill = engine?.run(tokens, () => {
      this._context.host.health.observePrefill(
        endpointId, setup.loop.nowMs - startedMs, tokens / this._context.site.prefillTokensPerMs
      )
      this._prefillHandle?.release()
      this._kvExpiresAtMs = setup.loop.nowMs + KV_TTL_MS
      this._state = { ...this._state, prefillDone: true }
      this.advance()
    }) ?? (() => {})
  }

  private _runDecode (): void {
    const { setup, site } = this._context
    const bytes = this._item.work.promptTokens * site.kvBytesPerToken
    const engine = setup.fleet.decode.get(this._decodeHandle?.endpointId ?? '')
    setup.fleet.link.transfer(bytes, () => {
      if (this._state.ended !== null || !this._context.host.alive) return
      if (setup.loop.nowMs <= this._kvExpiresAtMs && engine?.start(this._engineRequest()) === true) {
        this._decodeStarted = true
        return
      }
      this._context.figures.overruns += 1
      this._decodeHandle?.release()
      this._state = { ...this._state, decodeReserved: false }
      this._retryDecode()
    })
  }

  private _engineRequest (): Parameters<NonNullable<ReturnType<HostSetup['fleet']['decode']['get']>>['start']>[0] {
    const { work } = this._item
    const observeToken = this._context.host.health.newTokenObserver(this._decodeHandle?.endpointId ?? '')
    return {
      requestId: work.id,
      attempt: this._attemptNumber,
      hostId: this._context.host.id,
      incarnation: 1,
      pieces: this._pieces,
      tokens: work.outputTokens,
      onToken: () => { observeToken(); this._recordToken() },
      onEnd: () => {
        if (this._state.ended !== null) return
        if (this._context.host.alive) this._context.figures.recordFinished(work)
        this._end(PlanEndReason.Finished)
      }
    }
  }

  private _recordToken (): void {
    const { setup, figures, host } = this._context
    if (host.alive && this._state.ended === null) figures.recordToken(this._item.work, setup.loop.nowMs)
    const overLimit = this._abandonedAtMs !== null && setup.loop.nowMs - this._abandonedAtMs > HELD_LIMIT_MS
    if (!overLimit) return
    figures.heldTooLong.add(this._item.id)
  }

  private _end (reason: PlanEndReason): void {
    if (this._state.ended !== null) return
    this._state = { ...this._state, ended: reason }
    this.advance()
  }

  private _releaseAll (): void {
    const { setup } = this._context
    const engine = setup.fleet.decode.get(this._decodeHandle?.endpointId ?? '')
    if (this._decodeStarted) engine?.cancel(this._item.id)
    if (!this._state.prefillDone) this._cancelPrefill()
    this._decodeHandle?.release()
    this._prefillHandle?.release()
    this._recordWaste(this._state.ended === PlanEndReason.CallerGone ? WasteCause.Caller : WasteCause.Policy)
  }

  private _recordWaste (cause: WasteCause): void {
    if (this._prefillStarted && !this._decodeStarted) this._context.figures.recordWaste(this._item.work.promptTokens, cause)
  }

  private _reservationRequest (role: EndpointRole): ReservationRequest {
    const { site, setup, host } = this._context
    const { work } = this._item
    const decode = role === EndpointRole.Decode
    const prefillMs = work.promptTokens / site.prefillTokensPerMs
    return {
      requestId: work.id,
      attempt: this._attemptNumber,
      stage: role,
      hostId: host.id,
      incarnation: 1,
      nonce: host.id,
      pieces: decode ? this._pieces : 0,
      transferBytes: decode ? work.promptTokens * site.kvBytesPerToken : 0,
      startInMs: decode ? setup.policy.planner.decodeStartInMs(prefillMs) : 0,
      expectedMs: decode ? work.outputTokens * EXPECTED_STEP_MS : prefillMs
    }
  }

  private get _pieces (): number {
    return Math.ceil((this._item.work.promptTokens + this._item.work.outputTokens) / this._context.site.tokensPerPiece)
  }
}
