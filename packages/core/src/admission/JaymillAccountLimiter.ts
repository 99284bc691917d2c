import { TokenBucket } from './JaymillTokenBucket.js'

/** Limit of one account across all hosts. */
export interface AccountLimit {
  readonly accountId: string
  readonly tokensPerSecond: number
}

/** Decision of a limiter. */
export interface LimitDecision {
  readonly allowed: boolean
  /** Tokens to be leased from the account's owner before a retry; 0 when no lease is needed. */
  readonly leaseTokens: number
}

/** The request may proceed. */
export const ALLOWED: LimitDecision = { allowed: true, leaseTokens: 0 }
/** The request must be refused as not run. */
export const DENIED: LimitDecision = { allowed: false, leaseTokens: 0 }

/** Enforces the token rate of an account across all hosts. */
export abstract class AccountLimiter {
  /**
   * Takes the tokens of one request from its account's limit.
   *
   * @param limit - Account and its rate.
   * @param tokens - Tokens the request will use.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the request may proceed on this host now.
   */
  abstract take (limit: AccountLimit, tokens: number, nowMs: number): LimitDecision
}

/** Gives every host an equal share of each limit. */
export class EqualShareLimiter extends AccountLimiter {
  private readonly _buckets = new Map<string, TokenBucket>()
  private readonly _hostCount: () => number

  /**
   * @param hostCount - Number of hosts in the published list.
   */
  constructor (hostCount: () => number) {
    super()
    this._hostCount = hostCount
  }

  /** {@inheritDoc AccountLimiter.take} */
  take (limit: AccountLimit, tokens: number, nowMs: number): LimitDecision {
    const rate = limit.tokensPerSecond / Math.max(1, this._hostCount())
    const bucket = this._buckets.get(limit.accountId) ?? new TokenBucket(rate, nowMs)
    this._buckets.set(limit.accountId, bucket)
    return bucket.take(tokens, nowMs) ? ALLOWED : DENIED
  }
}
