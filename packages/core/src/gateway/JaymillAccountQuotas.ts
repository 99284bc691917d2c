import { QuotaUnit, type AccountQuota, type ClientAccount } from './JaymillGatewayConfig.js'
import { QuotaLedger, type AccountUse, type QuotaReporter, type QuotaScope } from './JaymillQuotaLedger.js'
import type { QuotaShare } from './JaymillQuotaShare.js'

/** Whether the quota of an account admits a request, and what that was decided by. */
export interface QuotaDecision {
  readonly admitted: boolean
  /** Time after which a refused caller may return, in milliseconds; 0 for an admitted request. */
  readonly retryAfterMs: number
  /** Units per second that callers of the account ask this host for. */
  readonly ownDemandPerS: number
  /** Units per second that they ask all hosts for, as far as this host knows. */
  readonly demandPerS: number
  /** Units that may be used at once; negative when the quota is overdrawn. */
  readonly level: number
}

const ADMITTED: QuotaDecision = { admitted: true, retryAfterMs: 0, ownDemandPerS: 0, demandPerS: 0, level: 0 }

/**
 * Quotas of client accounts over all hosts, without a shared counter: each host counts its own use and that which other hosts report,
 * and decides by itself. Only accounts that are in use hold any state.
 */
export class AccountQuotas {
  private readonly _share: QuotaShare
  private readonly _windowMs: number
  private readonly _ledgers = new Map<string, QuotaLedger>()
  private _quotas: ReadonlyMap<string, AccountQuota> = new Map()
  private _part = 1

  /**
   * @param share - Divides the quotas among the hosts.
   * @param windowMs - Window within which the quotas have to hold, in milliseconds.
   */
  constructor (share: QuotaShare, windowMs: number) {
    this._share = share
    this._windowMs = windowMs
  }

  /**
   * Applies the quotas of a configuration.
   *
   * @param accounts - Accounts of the configuration.
   * @param nowMs - Monotonic time in milliseconds.
   */
  configure (accounts: readonly ClientAccount[], nowMs: number): void {
    this._quotas = new Map(accounts.flatMap(({ name, quota }) => quota === undefined || quota.ratePerS <= 0 ? [] : [[name, quota] as const]))
    ;[...this._ledgers.keys()].filter(name => !this._quotas.has(name)).forEach(name => this._ledgers.delete(name))
    this._applyAll(nowMs)
  }

  /**
   * Updates the number of hosts.
   *
   * @param inTouch - Hosts that this one is in touch with, itself included.
   * @param known - Hosts that may be serving requests, whether or not this one is in touch with them.
   * @param nowMs - Monotonic time in milliseconds.
   */
  observeHosts (inTouch: number, known: number, nowMs: number): void {
    const part = this._share.part(inTouch, known)
    ;[...this._ledgers].filter(([, ledger]) => ledger.expire(nowMs)).forEach(([name]) => this._ledgers.delete(name))
    if (part === this._part) return
    this._part = part
    this._applyAll(nowMs)
  }

  /**
   * Decides on a request and, when it is admitted, counts its units as used. A request is admitted as long as any units are left, so
   * that large requests are refused no more often than small ones.
   *
   * @param account - Name of the caller's account.
   * @param units - Cost of the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The decision; accounts without a quota are always admitted.
   */
  take (account: string, units: number, nowMs: number): QuotaDecision {
    const ledger = this._ledger(account, nowMs)
    if (ledger === undefined) return ADMITTED
    ledger.ask(units, nowMs)
    const { level, ownDemandPerS, demandPerS } = ledger
    const admitted = level > 0
    if (admitted) ledger.use(units, nowMs)
    return { admitted, retryAfterMs: admitted ? 0 : ledger.retryAfterMs(units, nowMs), ownDemandPerS, demandPerS, level }
  }

  /**
   * Gives back the units of an admitted request that has not run.
   *
   * @param account - Name of the caller's account.
   * @param units - Cost of the request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  giveBack (account: string, units: number, nowMs: number): void {
    this._ledgers.get(account)?.use(-units, nowMs)
  }

  /**
   * @param scope - Whose use to report.
   * @param max - Maximum number of accounts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Use of the quotas, of the accounts closest to their limits first.
   */
  report (scope: QuotaScope, max: number, nowMs: number): readonly AccountUse[] {
    const uses = [...this._ledgers].flatMap(([account, ledger]) => ledger.report(account, scope, nowMs) ?? [])
    return uses.sort((a, b) => this._utilization(b) - this._utilization(a)).slice(0, max)
  }

  /**
   * Applies the report of another host. Accounts that this host has no quota for are ignored.
   *
   * @param reporter - Origin of the report.
   * @param uses - Use that it reports.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge (reporter: QuotaReporter, uses: readonly AccountUse[], nowMs: number): void {
    uses.forEach(use => this._ledger(use.account, nowMs)?.merge(reporter, use, nowMs))
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Names of the accounts that are close to their limits.
   */
  busyAccounts (nowMs: number): readonly string[] {
    return [...this._ledgers].filter(([, ledger]) => ledger.isBusy(nowMs)).map(([account]) => account)
  }

  private _utilization ({ account, demandPerS }: AccountUse): number {
    return demandPerS / (this._quotas.get(account)?.ratePerS ?? Number.POSITIVE_INFINITY)
  }

  private _applyAll (nowMs: number): void {
    this._ledgers.forEach((ledger, name) => {
      const quota = this._quotas.get(name)
      if (quota !== undefined) ledger.apply(quota, this._part, nowMs)
    })
  }

  private _ledger (account: string, nowMs: number): QuotaLedger | undefined {
    const quota = this._quotas.get(account)
    if (quota === undefined) return undefined
    const ledger = this._ledgers.get(account) ?? new QuotaLedger(quota, this._share, this._windowMs, nowMs)
    if (!this._ledgers.has(account)) ledger.apply(quota, this._part, nowMs)
    this._ledgers.set(account, ledger)
    return ledger
  }
}

/**
 * @param quota - Quota of an account.
 * @param tokens - Prompt tokens and maximum number of output tokens that a request declares; `undefined` when it declares none.
 * @returns Units that the request costs.
 */
export function quotaUnits ({ unit, plainTokens }: AccountQuota, tokens: number | undefined): number {
  return unit === QuotaUnit.Requests ? 1 : tokens ?? plainTokens
}
