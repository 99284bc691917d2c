import { Clock, LatencyMeasure, ModelConfig, RouteConfig, stallTimeouts, StreamTimeouts } from '@jaymill/core'
import type { HostHealth } from '../health/JaymillHostHealth.js'
import { MS_PER_SECOND, OBSERVE_EVERY_TOKENS, PREFILL_BASE_MS, PREFILL_MS_PER_TOKEN } from './constants.js'

/**
 * Estimates the duration of a prefill.
 *
 * @param promptTokens - Length of the prompt, in tokens.
 * @returns Expected time of the prefill, in milliseconds.
 */
export function expectedPrefillMs (promptTokens: number): number {
  return PREFILL_BASE_MS + promptTokens * PREFILL_MS_PER_TOKEN
}

/**
 * Derives the stall timeouts of a stream.
 *
 * @param route - Route with the latency targets of the request.
 * @param firstTokenMs - Expected time to the first token of this call, in milliseconds.
 * @param remainingMs - Time left until the deadline, in milliseconds.
 * @returns Times without a token that count as a stall.
 */
export function streamTimeouts (route: RouteConfig, firstTokenMs: number, remainingMs: number): StreamTimeouts {
  return stallTimeouts({ firstTokenMs, interTokenMs: route.interTokenMs, remainingMs })
}

/**
 * Estimates the duration of a KV transfer.
 *
 * @param promptTokens - Length of the prompt, in tokens.
 * @param model - Model, which sets the KV bytes per token.
 * @param linkBytesPerSecond - Bandwidth of the KV link, in bytes per second; 0 if there is none.
 * @returns Expected time to transfer the prompt's KV cache, in milliseconds.
 */
export function expectedTransferMs (promptTokens: number, model: ModelConfig, linkBytesPerSecond: number): number {
  if (linkBytesPerSecond === 0) return 0
  return promptTokens * model.kvBytesPerToken / linkBytesPerSecond * MS_PER_SECOND
}

/** Measures the token latencies of one stream and reports them to the host's straggler scorer. */
export class StreamLatencyMonitor {
  private readonly _health: HostHealth
  private readonly _clock: Clock
  private readonly _route: RouteConfig
  private readonly _endpointId: string
  private _sinceMs: number
  private _tokens = 0

  /**
   * @param health - Receives the observations.
   * @param clock - Source of time.
   * @param route - Route with the latency targets against which times are compared.
   * @param endpointId - Endpoint that serves the stream.
   */
  constructor (health: HostHealth, clock: Clock, route: RouteConfig, endpointId: string) {
    this._health = health
    this._clock = clock
    this._route = route
    this._endpointId = endpointId
    this._sinceMs = clock.nowMs()
  }

  /** Records the arrival of a token. */
  recordToken (): void {
    this._tokens += 1
    if (this._tokens === 1) this._observe(LatencyMeasure.FirstToken, 1, this._route.ttftMs)
    else if ((this._tokens - 1) % OBSERVE_EVERY_TOKENS === 0) {
      this._observe(LatencyMeasure.InterToken, OBSERVE_EVERY_TOKENS, this._route.interTokenMs)
    }
  }

  /** Records a stall that ended the stream. */
  recordStall (): void {
    const isFirstToken = this._tokens === 0
    this._observe(
      isFirstToken ? LatencyMeasure.FirstToken : LatencyMeasure.InterToken, 1,
      isFirstToken ? this._route.ttftMs : this._route.interTokenMs
    )
  }

  private _observe (measure: LatencyMeasure, steps: number, expectedMs: number): void {
    const nowMs = this._clock.nowMs()
    const observedMs = (nowMs - this._sinceMs) / steps
    this._health.scorer.observe({ endpointId: this._endpointId, measure, observedMs, expectedMs }, nowMs)
    this._sinceMs = nowMs
  }
}
