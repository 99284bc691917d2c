import {
  AccountConfig, AccountLimit, ErrorKind, HostState, LeasedLimiter, rendezvousOwner, RequestError, TokenLease
} from '@jaymill/core'
import { accountLimits, limitKey, LimitUnit } from './JaymillAccountLimits.js'
import type { RoutingContext } from './JaymillRoutingContext.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const RETRY_AFTER_MS = 1_000

/** Enforces the limits of accounts across all hosts, with token leases from the owner of each limit. */
export class AccountRateLimiter {
  private readonly _ctx: RoutingContext
  private readonly _owner: SlotOwner
  private readonly _limiter: LeasedLimiter

  /**
   * @param ctx - Components of the host that routing uses.
   * @param owner - Leases tokens of the accounts that this host owns.
   */
  constructor (ctx: RoutingContext, owner: SlotOwner) {
    this._ctx = ctx
    this._owner = owner
    this._limiter = new LeasedLimiter(() => ctx.hosts().hosts.length)
  }

  /**
   * Counts one request and its tokens against the limits of its account.
   *
   * @param accountId - Id of the account.
   * @param tokens - Expected tokens; 0 for services.
   * @param signal - Cancels the wait for a lease.
   * @throws RequestError of kind `AccountLimit`; the request did not run.
   */
  async acquire (accountId: string, tokens: number, signal: AbortSignal): Promise<void> {
    const account = this._ctx.fleet().accounts.find(({ id }) => id === accountId)
    if (account === undefined) return
    await this._acquire(account, LimitUnit.Requests, 1, signal)
    if (tokens > 0) await this._acquire(account, LimitUnit.Tokens, tokens, signal)
  }

  private async _acquire (account: AccountConfig, unit: LimitUnit, amount: number, signal: AbortSignal): Promise<void> {
    const limit = accountLimits(account).find(({ accountId }) => accountId === limitKey(account.id, unit))
    if (limit === undefined || await this._tryAcquire(limit, amount, signal)) return
    throw new RequestError(
      ErrorKind.AccountLimit, `account ${account.id} is over its limit of ${unit}`, { retryAfterMs: RETRY_AFTER_MS }
    )
  }

  private async _tryAcquire (limit: AccountLimit, amount: number, signal: AbortSignal): Promise<boolean> {
    const requestedAtMs = this._ctx.clock.nowMs()
    const decision = this._limiter.take(limit, amount, requestedAtMs)
    if (decision.allowed) return true
    const lease = await this._requestLease(limit, decision.leaseTokens, signal)
    signal.throwIfAborted()
    if (lease === undefined) return this._limiter.takeShare(limit, amount, this._ctx.clock.nowMs()).allowed
    this._limiter.receive(lease, requestedAtMs)
    return this._limiter.take(limit, amount, this._ctx.clock.nowMs()).allowed
  }

  private async _requestLease (limit: AccountLimit, tokens: number, signal: AbortSignal): Promise<TokenLease | undefined> {
    const request = { from: this._ctx.identity.id, accountId: limit.accountId, tokens }
    const hosts = this._ctx.hosts().hosts.filter(({ state }) => state === HostState.Live)
    const owner = rendezvousOwner(limit.accountId, hosts.map(({ id }) => ({ id, weight: 1 })))
    if (owner === undefined || owner.id === this._ctx.identity.id) return await this._owner.lease(request)
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(this._ctx.ownerTimeoutMs)])
    return await this._ctx.peers.client(owner.id).leaseTokens(request, timeoutSignal).catch(() => undefined)
  }
}
