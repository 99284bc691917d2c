import { ACCOUNT_MIN_REQUESTS, ACCOUNT_PART_FACTOR, DEMAND_SHARE_MS, MIN_DEMAND_TOKENS } from './constants.js'

interface Decayed {
  readonly tokens: number
  readonly requests: number
  readonly atMs: number
}

/** A request as it counts for the demand of one service. */
export interface DemandItem {
  /** Index of its rank among those of the service; 0 is the most urgent. */
  readonly level: number
  /** Name of its client account, if it has one. */
  readonly account?: string
  /** KV cache that it needs, in tokens. */
  readonly tokens: number
}

/**
 * Places requests in the order in which they yield, and measures which part of the demand each place has. An account that asks for
 * much more than its part has the later of two places of each rank. The parts are those of this host, as an estimate for all hosts:
 * a balancer that hashes callers gives each host a sample of all of them.
 */
export class DemandShares {
  private readonly _positions = new Map<number, Decayed>()
  private readonly _accounts = new Map<string, Decayed>()

  /**
   * Adds a request.
   *
   * @param item - The request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Its position: requests with a lower one go first.
   */
  add ({ level, account, tokens }: DemandItem, nowMs: number): number {
    const isOverPart = account !== undefined && this._countAccount(account, tokens, nowMs)
    const position = 2 * level + Number(isOverPart)
    this._positions.set(position, added(this._positions.get(position), tokens, nowMs))
    return position
  }

  /**
   * @param position - Position of a request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Part of the demand that has at most this position; 1 without demand.
   */
  upTo (position: number, nowMs: number): number {
    const tokensOf = (entries: ReadonlyArray<[number, Decayed]>): number => entries.reduce((sum, [, decayed]) => sum + tokensAt(decayed, nowMs), 0)
    const entries = [...this._positions]
    const total = tokensOf(entries)
    return total < MIN_DEMAND_TOKENS ? 1 : tokensOf(entries.filter(([other]) => other <= position)) / total
  }

  /**
   * @returns Mean KV cache that a recent request needs, in tokens; 0 without requests.
   */
  get meanTokens (): number {
    const { tokens, requests } = [...this._positions.values()].reduce((sum, decayed) => ({ tokens: sum.tokens + decayed.tokens, requests: sum.requests + decayed.requests }), { tokens: 0, requests: 0 })
    return requests === 0 ? 0 : tokens / requests
  }

  private _countAccount (account: string, tokens: number, nowMs: number): boolean {
    this._accounts.set(account, added(this._accounts.get(account), tokens, nowMs))
    const active = [...this._accounts].filter(([, decayed]) => tokensAt(decayed, nowMs) >= MIN_DEMAND_TOKENS)
    if (active.length < this._accounts.size) this._accounts.forEach((decayed, name) => { if (tokensAt(decayed, nowMs) < MIN_DEMAND_TOKENS) this._accounts.delete(name) })
    const own = this._accounts.get(account)
    const part = active.reduce((sum, [, decayed]) => sum + tokensAt(decayed, nowMs), 0) / Math.max(1, active.length)
    return own !== undefined && own.requests >= ACCOUNT_MIN_REQUESTS && own.tokens > ACCOUNT_PART_FACTOR * part
  }
}

function added (before: Decayed | undefined, tokens: number, nowMs: number): Decayed {
  const decay = before === undefined ? 0 : Math.exp((before.atMs - nowMs) / DEMAND_SHARE_MS)
  return { tokens: (before?.tokens ?? 0) * decay + tokens, requests: (before?.requests ?? 0) * decay + 1, atMs: nowMs }
}

function tokensAt ({ tokens, atMs }: Decayed, nowMs: number): number {
  return tokens * Math.exp((atMs - nowMs) / DEMAND_SHARE_MS)
}
