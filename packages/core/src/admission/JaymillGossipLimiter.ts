import { AccountLimit, AccountLimiter, ALLOWED, DENIED, LimitDecision } from './JaymillAccountLimiter.js'
import { TokenBucket } from './JaymillTokenBucket.js'

/** Gives every host the whole limit and charges it with the usage that other hosts report; overshoots by the reporting lag. */
export class GossipLimiter extends AccountLimiter {
  private readonly _buckets = new Map<string, TokenBucket>()
  private readonly _used = new Map<string, number>()

  /** {@inheritDoc AccountLimiter.take} */
  take (limit: AccountLimit, tokens: number, nowMs: number): LimitDecision {
    const bucket = this._buckets.get(limit.accountId) ?? new TokenBucket(limit.tokensPerSecond, nowMs)
    this._buckets.set(limit.accountId, bucket)
    if (!bucket.take(tokens, nowMs)) return DENIED
    this._used.set(limit.accountId, (this._used.get(limit.accountId) ?? 0) + tokens)
    return ALLOWED
  }

  /**
   * Returns the usage of this host and resets it.
   *
   * @returns Tokens used by this host since the last call, by account.
   */
  drain (): ReadonlyMap<string, number> {
    const used = new Map(this._used)
    this._used.clear()
    return used
  }

  /**
   * Charges the usage that another host reported.
   *
   * @param used - Tokens by account.
   * @param nowMs - Monotonic time in milliseconds.
   */
  chargeRemoteUsage (used: ReadonlyMap<string, number>, nowMs: number): void {
    used.forEach((tokens, id) => this._buckets.get(id)?.charge(tokens, nowMs))
  }
}
