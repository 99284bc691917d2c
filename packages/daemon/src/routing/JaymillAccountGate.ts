import {
  AccountConfig, AccountLimit, ErrorKind, HostState, LeasedLimiter, rendezvousOwner, RequestError, TokenLease
} from '@jaymill/core'
import { accountLimits, LimitUnit, limitKey } from './JaymillAccountLimits.js'
import type { RoutingParts } from './JaymillRoutingParts.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const RETRY_AFTER_MS = 1_000

/** Holds the limits of accounts over all hosts, by leases from each limit's owner. */
export class AccountGate {
  private readonly _parts: RoutingParts
  private readonly _owner: SlotOwner
  private readonly _limiter: LeasedLimiter

  /**
   * @param parts - Parts of the host.
   * @param owner - Own side of the leases.
   */
  constructor (parts: RoutingParts, owner: SlotOwner) {
    this._parts = parts
    this._owner = owner
    this._limiter = new LeasedLimiter(() => parts.hosts().hosts.length)
  }

  /**
   * Counts one request and its tokens against its account's limits.
   *
   * @param accountId - Account.
   * @param tokens - Expected tokens; 0 for services.
   * @param signal - Gives up.
   * @throws RequestError of kind `AccountLimit`; the request did not run.
   */
  async pass (accountId: string, tokens: number, signal: AbortSignal): Promise<void> {
    const account = this._parts.fleet().accounts.find(({ id }) => id === accountId)
    if (account === undefined) return
    await this._use(account, LimitUnit.Requests, 1, signal)
    if (tokens > 0) await this._use(account, LimitUnit.Tokens, tokens, signal)
  }

  private async _use (account: AccountConfig, unit: LimitUnit, amount: number, signal: AbortSignal): Promise<void> {
    const limit = accountLimits(account).find(({ accountId }) => accountId === limitKey(account.id, unit))
    if (limit === undefined || await this._take(limit, amount, signal)) return
    throw new RequestError(ErrorKind.AccountLimit, `account ${account.id} is over its limit of ${unit}`, { retryAfterMs: RETRY_AFTER_MS })
  }

  private async _take (limit: AccountLimit, amount: number, signal: AbortSignal): Promise<boolean> {
    const askedAtMs = this._parts.clock.nowMs()
    const first = this._limiter.take(limit, amount, askedAtMs)
    if (first.allowed) return true
    const lease = await this._lease(limit, first.leaseTokens, signal)
    signal.throwIfAborted()
    if (lease === undefined) return this._limiter.takeShare(limit, amount, this._parts.clock.nowMs()).allowed
    this._limiter.receive(lease, askedAtMs)
    return this._limiter.take(limit, amount, this._parts.clock.nowMs()).allowed
  }

  private async _lease (limit: AccountLimit, tokens: number, signal: AbortSignal): Promise<TokenLease | undefined> {
    const question = { from: this._parts.identity.id, accountId: limit.accountId, tokens }
    const hosts = this._parts.hosts().hosts.filter(({ state }) => state === HostState.Live)
    const owner = rendezvousOwner(limit.accountId, hosts.map(({ id }) => ({ id, weight: 1 })))
    if (owner === undefined || owner.id === this._parts.identity.id) return await this._owner.lease(question)
    const limited = AbortSignal.any([signal, AbortSignal.timeout(this._parts.ownerWaitMs)])
    return await this._parts.peers.client(owner.id).leaseTokens(question, limited).catch(() => undefined)
  }
}
