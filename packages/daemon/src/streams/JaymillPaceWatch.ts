import { Clock, ModelConfig, PaceMeasure, RouteConfig, stallPace, StreamPace } from '@jaymill/core'
import type { HostHealth } from '../health/JaymillHostHealth.js'
import { MS_PER_SECOND, OBSERVE_EVERY_TOKENS, PREFILL_BASE_MS, PREFILL_MS_PER_TOKEN } from './constants.js'

/**
 * @param promptTokens - Length of the prompt.
 * @returns Expected time of its prefill, in milliseconds.
 */
export function expectedPrefillMs (promptTokens: number): number {
  return PREFILL_BASE_MS + promptTokens * PREFILL_MS_PER_TOKEN
}

/**
 * @param route - Targets of the request.
 * @param firstTokenMs - Expected time to the first token of this call, in milliseconds.
 * @param remainingMs - Time left until the deadline, in milliseconds.
 * @returns Silence that counts as a stall.
 */
export function paceOf (route: RouteConfig, firstTokenMs: number, remainingMs: number): StreamPace {
  return stallPace({ firstTokenMs, interTokenMs: route.interTokenMs, remainingMs })
}

/**
 * @param promptTokens - Length of the prompt.
 * @param model - Model, which sets the bytes for each token.
 * @param linkBytesPerSecond - Rate of the KV link; 0 when there is none.
 * @returns Expected time to move the prompt's KV cache, in milliseconds.
 */
export function expectedTransferMs (promptTokens: number, model: ModelConfig, linkBytesPerSecond: number): number {
  if (linkBytesPerSecond === 0) return 0
  return promptTokens * model.kvBytesPerToken / linkBytesPerSecond * MS_PER_SECOND
}

/** Times one stream and reports its pace to the health room. */
export class PaceWatch {
  private readonly _health: HostHealth
  private readonly _clock: Clock
  private readonly _route: RouteConfig
  private readonly _endpointId: string
  private _sinceMs: number
  private _tokens = 0

  /**
   * @param health - Where observations go.
   * @param clock - Source of time.
   * @param route - Targets, against which times are compared.
   * @param endpointId - Endpoint that is timed.
   */
  constructor (health: HostHealth, clock: Clock, route: RouteConfig, endpointId: string) {
    this._health = health
    this._clock = clock
    this._route = route
    this._endpointId = endpointId
    this._sinceMs = clock.nowMs()
  }

  /** Notes a token. */
  token (): void {
    this._tokens += 1
    if (this._tokens === 1) this._observe(PaceMeasure.FirstToken, 1, this._route.ttftMs)
    else if ((this._tokens - 1) % OBSERVE_EVERY_TOKENS === 0) {
      this._observe(PaceMeasure.InterToken, OBSERVE_EVERY_TOKENS, this._route.interTokenMs)
    }
  }

  /** Notes a silence that ended the stream. */
  silence (): void {
    const first = this._tokens === 0
    this._observe(first ? PaceMeasure.FirstToken : PaceMeasure.InterToken, 1, first ? this._route.ttftMs : this._route.interTokenMs)
  }

  private _observe (measure: PaceMeasure, steps: number, expectedMs: number): void {
    const nowMs = this._clock.nowMs()
    const observedMs = (nowMs - this._sinceMs) / steps
    this._health.scorer.observe({ endpointId: this._endpointId, measure, observedMs, expectedMs }, nowMs)
    this._sinceMs = nowMs
  }
}
