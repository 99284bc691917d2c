import { DEMAND_SMOOTH_MS, HOLDING_TIME_INITIAL_MS, HOLDING_TIME_WEIGHT } from './constants.js'

/** Demand for one service at one host. */
export interface DemandShare {
  readonly service: string
  /** Arrival rate of prompt tokens, per millisecond. */
  readonly promptRate: number
  /** Arrival rate of the KV cache tokens that requests will hold, per millisecond. */
  readonly kvRate: number
  /** KV cache that queued requests need, in tokens. */
  readonly waitingTokens: number
}

interface Rates {
  readonly prompt: number
  readonly kv: number
  readonly atMs: number
}

/** Tracks the demand for prefill and KV cache: exact for this host, as last reported for the others. */
export class PromptDemand {
  private readonly _own = new Map<string, Rates>()
  private readonly _holdingTimesMs = new Map<string, number>()
  private readonly _waitingTokens = new Map<string, () => number>()
  private readonly _others = new Map<string, readonly DemandShare[]>()

  /**
   * Adds a request.
   *
   * @param service - Service of the request.
   * @param promptTokens - Length of its prompt, in tokens.
   * @param kvTokens - KV cache that it will hold, in tokens.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (service: string, promptTokens: number, kvTokens: number, nowMs: number): void {
    const { prompt, kv } = this._rates(service, nowMs)
    this._own.set(service, { prompt: prompt + promptTokens / DEMAND_SMOOTH_MS, kv: kv + kvTokens / DEMAND_SMOOTH_MS, atMs: nowMs })
  }

  /**
   * Records for how long a request held KV cache, not counting its prefill.
   *
   * @param service - Service of the request.
   * @param ms - Holding time, in milliseconds.
   */
  recordHoldingTime (service: string, ms: number): void {
    const before = this.holdingTimeMs(service)
    this._holdingTimesMs.set(service, before + (ms - before) * HOLDING_TIME_WEIGHT)
  }

  /**
   * @param service - A service.
   * @returns Moving average of the time for which requests of this host hold KV cache, in milliseconds.
   */
  holdingTimeMs (service: string): number {
    return this._holdingTimesMs.get(service) ?? HOLDING_TIME_INITIAL_MS
  }

  /**
   * Registers a function that reports the KV cache needed by queued requests.
   *
   * @param service - A service.
   * @param tokens - Returns the KV cache that its queued requests need, in tokens.
   */
  registerWaitingTokens (service: string, tokens: () => number): void {
    this._waitingTokens.set(service, tokens)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Demand at this host.
   */
  own (nowMs: number): readonly DemandShare[] {
    return [...this._own.keys()].map(service => {
      const { prompt, kv } = this._rates(service, nowMs)
      return { service, promptRate: prompt, kvRate: kv, waitingTokens: this._waitingTokens.get(service)?.() ?? 0 }
    })
  }

  /**
   * Replaces the demand reported by another host.
   *
   * @param hostId - The other host.
   * @param shares - Demand at that host; empty when it has timed out.
   */
  update (hostId: string, shares: readonly DemandShare[]): void {
    this._others.set(hostId, shares)
  }

  /**
   * Adds up the demand at this host and in some reports.
   *
   * @param sources - Sources of the reports.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Their demand for each service.
   */
  sum (sources: readonly string[], nowMs: number): readonly DemandShare[] {
    const shares = [...this.own(nowMs), ...sources.flatMap(source => this._others.get(source) ?? [])]
    return [...new Set(shares.map(({ service }) => service))].map(service => ({ service, ...sumOf(shares, service) }))
  }

  /**
   * @param service - A service.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Demand at all hosts.
   */
  total (service: string, nowMs: number): Omit<DemandShare, 'service'> {
    return sumOf([...this._others.values(), this.own(nowMs)].flat(), service)
  }

  private _rates (service: string, nowMs: number): Omit<Rates, 'atMs'> {
    const rates = this._own.get(service)
    if (rates === undefined) return { prompt: 0, kv: 0 }
    const decay = Math.exp((rates.atMs - nowMs) / DEMAND_SMOOTH_MS)
    return { prompt: rates.prompt * decay, kv: rates.kv * decay }
  }
}

function sumOf (shares: readonly DemandShare[], service: string): Omit<DemandShare, 'service'> {
  return shares.filter(share => share.service === service).reduce((sum, { promptRate, kvRate, waitingTokens }) => ({
    promptRate: sum.promptRate + promptRate, kvRate: sum.kvRate + kvRate, waitingTokens: sum.waitingTokens + waitingTokens
  }), { promptRate: 0, kvRate: 0, waitingTokens: 0 })
}
