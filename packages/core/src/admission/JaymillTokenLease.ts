import { AccountLimit, AccountLimiter, ALLOWED, EqualShareLimiter, LimitDecision } from './JaymillAccountLimiter.js'
import { TOKEN_LEASE_MS } from './JaymillAdmissionConstants.js'
import { TokenBucket } from './JaymillTokenBucket.js'

/** Tokens that an account's owner has leased to one host. */
export interface TokenLease {
  readonly accountId: string
  readonly tokens: number
  /** Time for which they may be used, in milliseconds from the request. */
  readonly ttlMs: number
}

interface LeasedTokens {
  readonly tokens: number
  readonly expiresAtMs: number
}

/** Owner side of account limits: one exact token bucket for each account it owns. */
export class TokenLeaseOwner {
  private readonly _buckets = new Map<string, TokenBucket>()

  /**
   * Leases tokens of an account.
   *
   * @param limit - Account and its rate.
   * @param tokens - Tokens the host needs now.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The lease; its tokens are 0 when the limit is used up.
   */
  lease (limit: AccountLimit, tokens: number, nowMs: number): TokenLease {
    const bucket = this._buckets.get(limit.accountId) ?? new TokenBucket(limit.tokensPerSecond, nowMs)
    this._buckets.set(limit.accountId, bucket)
    const granted = bucket.take(tokens, nowMs)
    return { accountId: limit.accountId, tokens: granted ? tokens : 0, ttlMs: TOKEN_LEASE_MS }
  }

  /**
   * Removes an account that another host owns now.
   *
   * @param accountId - Account to remove.
   */
  forget (accountId: string): void {
    this._buckets.delete(accountId)
  }
}

/** Requesting side of account limits: uses leased tokens, and an equal share while the owner is unreachable. */
export class LeasedLimiter extends AccountLimiter {
  private readonly _leased = new Map<string, LeasedTokens>()
  private readonly _fallback: EqualShareLimiter

  /**
   * @param hostCount - Number of hosts in the published list.
   */
  constructor (hostCount: () => number) {
    super()
    this._fallback = new EqualShareLimiter(hostCount)
  }

  /** {@inheritDoc AccountLimiter.take} */
  take (limit: AccountLimit, tokens: number, nowMs: number): LimitDecision {
    const leased = this._leased.get(limit.accountId)
    const available = leased !== undefined && leased.expiresAtMs > nowMs ? leased.tokens : 0
    if (leased === undefined || available < tokens) return { allowed: false, leaseTokens: tokens - available }
    this._leased.set(limit.accountId, { ...leased, tokens: available - tokens })
    return ALLOWED
  }

  /**
   * Adds a received lease.
   *
   * @param lease - Response of the account's owner.
   * @param requestedAtMs - Monotonic time of the request, in milliseconds; the lease starts then.
   */
  receive (lease: TokenLease, requestedAtMs: number): void {
    const leased = this._leased.get(lease.accountId)
    const remaining = leased !== undefined && leased.expiresAtMs > requestedAtMs ? leased.tokens : 0
    this._leased.set(lease.accountId, { tokens: remaining + lease.tokens, expiresAtMs: requestedAtMs + lease.ttlMs })
  }

  /**
   * Takes tokens from this host's equal share while the owner is unreachable.
   *
   * @param limit - Account and its rate.
   * @param tokens - Tokens the request will use.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the request may proceed within this host's equal share.
   */
  takeShare (limit: AccountLimit, tokens: number, nowMs: number): LimitDecision {
    return this._fallback.take(limit, tokens, nowMs)
  }
}
