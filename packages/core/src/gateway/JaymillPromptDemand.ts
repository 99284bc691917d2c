import { DEMAND_SMOOTH_MS } from './constants.js'

/** Demand of one service's callers as one host sees it. */
export interface DemandShare {
  readonly service: string
  /** Prompt tokens that arrive in a millisecond. */
  readonly promptRate: number
  /** KV cache that waiting requests need, in tokens. */
  readonly waitingTokens: number
}

interface Rate {
  value: number
  atMs: number
}

/** Prompt tokens that callers ask for, on this host and, as last told, on the others. */
export class PromptDemand {
  private readonly _own = new Map<string, Rate>()
  private readonly _waiting = new Map<string, () => number>()
  private readonly _others = new Map<string, readonly DemandShare[]>()

  /**
   * Counts a request.
   *
   * @param service - Service that it goes to.
   * @param tokens - Its prompt.
   * @param nowMs - Monotonic time in milliseconds.
   */
  add (service: string, tokens: number, nowMs: number): void {
    const value = this._rate(service, nowMs) + tokens / DEMAND_SMOOTH_MS
    this._own.set(service, { value, atMs: nowMs })
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
    return [...this._own.keys()].map(service => ({
      service, promptRate: this._rate(service, nowMs), waitingTokens: this._waiting.get(service)?.() ?? 0
    }))
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
    return [...[...this._others.values()].flat(), ...this.own(nowMs)]
      .filter(share => share.service === service)
      .reduce((sum, { promptRate, waitingTokens }) => ({
        promptRate: sum.promptRate + promptRate, waitingTokens: sum.waitingTokens + waitingTokens
      }), { promptRate: 0, waitingTokens: 0 })
  }

  private _rate (service: string, nowMs: number): number {
    const rate = this._own.get(service)
    return rate === undefined ? 0 : rate.value * Math.exp((rate.atMs - nowMs) / DEMAND_SMOOTH_MS)
  }
}
