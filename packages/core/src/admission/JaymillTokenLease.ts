import { AccountLimit, AccountLimiter, ALLOWED, EqualShareLimiter, LimitAnswer } from './JaymillAccountLimiter.js'
import { TOKEN_LEASE_MS } from './JaymillAdmissionConstants.js'
import { TokenBucket } from './JaymillTokenBucket.js'

/** Tokens that an account's owner has handed to one host. */
export interface TokenLease {
  readonly accountId: string
  readonly tokens: number
  /** Time for which they may be used, in milliseconds from the question. */
  readonly ttlMs: number
}

interface HeldTokens {
  readonly tokens: number
  readonly expiresAtMs: number
}

/** Owner's side of account limits: one exact bucket for each account it owns. */
export class TokenLeaseOwner {
  private readonly _buckets = new Map<string, TokenBucket>()

  /**
   * Hands out tokens of an account.
   *
   * @param limit - Account and its rate.
   * @param tokens - Tokens the host needs now.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The lease; its tokens are 0 when the limit is used up.
   */
  lease (limit: AccountLimit, tokens: number, nowMs: number): TokenLease {
    const bucket = this._buckets.get(limit.accountId) ?? new TokenBucket(limit.tokensPerSecond, nowMs)
    this._buckets.set(limit.accountId, bucket)
    const taken = bucket.take(tokens, nowMs)
    return { accountId: limit.accountId, tokens: taken ? tokens : 0, ttlMs: TOKEN_LEASE_MS }
  }

  /**
   * Forgets an account that another host owns now.
   *
   * @param accountId - Account to forget.
   */
  forget (accountId: string): void {
    this._buckets.delete(accountId)
  }
}

/** Host's side of account limits: uses leased tokens, and an equal share while the owner is silent. */
export class LeasedLimiter extends AccountLimiter {
  private readonly _held = new Map<string, HeldTokens>()
  private readonly _fallback: EqualShareLimiter

  /**
   * @param hosts - Number of hosts in the published list.
   */
  constructor (hosts: () => number) {
    super()
    this._fallback = new EqualShareLimiter(hosts)
  }

  /** {@inheritDoc AccountLimiter.take} */
  take (limit: AccountLimit, tokens: number, nowMs: number): LimitAnswer {
    const held = this._held.get(limit.accountId)
    const usable = held !== undefined && held.expiresAtMs > nowMs ? held.tokens : 0
    if (held === undefined || usable < tokens) return { allowed: false, leaseTokens: tokens - usable }
    this._held.set(limit.accountId, { ...held, tokens: usable - tokens })
    return ALLOWED
  }

  /**
   * Takes a lease in.
   *
   * @param lease - Answer of the account's owner.
   * @param askedAtMs - Monotonic time of the question, in milliseconds; the lease counts from it.
   */
  receive (lease: TokenLease, askedAtMs: number): void {
    const held = this._held.get(lease.accountId)
    const kept = held !== undefined && held.expiresAtMs > askedAtMs ? held.tokens : 0
    this._held.set(lease.accountId, { tokens: kept + lease.tokens, expiresAtMs: askedAtMs + lease.ttlMs })
  }

  /**
   * Decides without the owner, which is silent.
   *
   * @param limit - Account and its rate.
   * @param tokens - Tokens the request will use.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the request may go on within this host's equal share.
   */
  takeShare (limit: AccountLimit, tokens: number, nowMs: number): LimitAnswer {
    return this._fallback.take(limit, tokens, nowMs)
  }
}
