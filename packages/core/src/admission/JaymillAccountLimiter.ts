import { TokenBucket } from './JaymillTokenBucket.js'

/** Limit of one account over all hosts. */
export interface AccountLimit {
  readonly accountId: string
  readonly tokensPerSecond: number
}

/** Answer of a limiter. */
export interface LimitAnswer {
  readonly allowed: boolean
  /** Tokens to be leased from the account's owner before trying again; 0 when nothing is to be asked. */
  readonly leaseTokens: number
}

/** The request may go on. */
export const ALLOWED: LimitAnswer = { allowed: true, leaseTokens: 0 }
/** The request must be refused as not run. */
export const DENIED: LimitAnswer = { allowed: false, leaseTokens: 0 }

/** Holds an account's token rate over all hosts. */
export abstract class AccountLimiter {
  /**
   * @param limit - Account and its rate.
   * @param tokens - Tokens the request will use.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the request may go on here and now.
   */
  abstract take (limit: AccountLimit, tokens: number, nowMs: number): LimitAnswer
}

/** Gives every host the same part of each limit. */
export class EqualShareLimiter extends AccountLimiter {
  private readonly _buckets = new Map<string, TokenBucket>()
  private readonly _hosts: () => number

  /**
   * @param hosts - Number of hosts in the published list.
   */
  constructor (hosts: () => number) {
    super()
    this._hosts = hosts
  }

  /** {@inheritDoc AccountLimiter.take} */
  take (limit: AccountLimit, tokens: number, nowMs: number): LimitAnswer {
    const rate = limit.tokensPerSecond / Math.max(1, this._hosts())
    const bucket = this._buckets.get(limit.accountId) ?? new TokenBucket(rate, nowMs)
    this._buckets.set(limit.accountId, bucket)
    return bucket.take(tokens, nowMs) ? ALLOWED : DENIED
  }
}
