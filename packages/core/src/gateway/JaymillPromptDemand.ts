import { DEMAND_SMOOTH_MS, HELD_INITIAL_MS, HELD_WEIGHT } from './constants.js'

/** Demand of one service's callers as one host sees it. */
export interface DemandShare {
  readonly service: string
  /** Prompt tokens that arrive in a millisecond. */
  readonly promptRate: number
  /** KV cache that requests which arrive in a millisecond will hold, in tokens. */
  readonly kvRate: number
  /** KV cache that waiting requests need, in tokens. */
  readonly waitingTokens: number
}

interface Rates {
  readonly prompt: number
  readonly kv: number
  readonly atMs: number
}

/** Prompt tokens that callers ask for, on this host and, as last told, on the others. */
export class PromptDemand {
  private readonly _own = new Map<string, Rates>()
  private readonly _heldMs = new Map<string, number>()
  private readonly _waiting = new Map<string, () => number>()
  private readonly _others = new Map<string, readonly DemandShare[]>()

  /**
   * Counts a request.
   *
   * @param service - Service that it goes to.
   * @param promptTokens - Its prompt.
   * @param kvTokens - KV cache that it will hold, in tokens.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (service: string, promptTokens: number, kvTokens: number, nowMs: number): void {
    const { prompt, kv } = this._rates(service, nowMs)
    this._own.set(service, { prompt: prompt + promptTokens / DEMAND_SMOOTH_MS, kv: kv + kvTokens / DEMAND_SMOOTH_MS, atMs: nowMs })
  }

  /**
   * Takes in for how long an answer has held KV cache, its prompt's reading not included.
   *
   * @param service - Service that it went to.
   * @param ms - Time, in milliseconds.
   */
  noteHeld (service: string, ms: number): void {
    const before = this.heldMs(service)
    this._heldMs.set(service, before + (ms - before) * HELD_WEIGHT)
  }

  /**
   * @param service - A service.
   * @returns Time for which a request holds KV cache, in milliseconds; mean of recent ones on this host.
   */
  heldMs (service: string): number {
    return this._heldMs.get(service) ?? HELD_INITIAL_MS
  }

  /**
   * @param service - A service.
   * @param tokens - Tells what its waiting requests need.
   */
  watchWaiting (service: string, tokens: () => number): void {
    this._waiting.set(service, tokens)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Demand on this host.
   */
  own (nowMs: number): readonly DemandShare[] {
    return [...this._own.keys()].map(service => {
      const { prompt, kv } = this._rates(service, nowMs)
      return { service, promptRate: prompt, kvRate: kv, waitingTokens: this._waiting.get(service)?.() ?? 0 }
    })
  }

  /**
   * @param hostId - Another host.
   * @param shares - Demand there; empty when it is silent.
   */
  adopt (hostId: string, shares: readonly DemandShare[]): void {
    this._others.set(hostId, shares)
  }

  /**
   * @param service - A service.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Demand on all hosts.
   */
  total (service: string, nowMs: number): Omit<DemandShare, 'service'> {
    const shares = [...this._others.values(), this.own(nowMs)].flatMap(all => all.filter(share => share.service === service))
    return shares.reduce((sum, { promptRate, kvRate, waitingTokens }) => ({
      promptRate: sum.promptRate + promptRate, kvRate: sum.kvRate + kvRate, waitingTokens: sum.waitingTokens + waitingTokens
    }), { promptRate: 0, kvRate: 0, waitingTokens: 0 })
  }

  private _rates (service: string, nowMs: number): Omit<Rates, 'atMs'> {
    const rates = this._own.get(service)
    if (rates === undefined) return { prompt: 0, kv: 0 }
    const kept = Math.exp((rates.atMs - nowMs) / DEMAND_SMOOTH_MS)
    return { prompt: rates.prompt * kept, kv: rates.kv * kept }
  }
}
