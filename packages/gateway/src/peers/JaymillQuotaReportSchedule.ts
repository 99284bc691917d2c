import { QuotaScope, type AccountQuotas } from '@jaymill/core'
import { FLEET_DIGEST_INTERVAL_MS, MAX_ACCOUNT_USES, QUOTA_BUSY_INTERVAL_MS, ZONE_DIGEST_INTERVAL_MS } from './constants.js'
import type { ReportedQuotas } from './JaymillHostMessage.js'
import { PeriodicTask } from './JaymillPeriodicTask.js'

/**
 * Decides when a relay sends digests of the use of quotas: as often as those of the work, more often while an account is close to its
 * limit, and at once when one gets there.
 */
export class QuotaReportSchedule {
  private readonly _quotas: AccountQuotas
  private readonly _zone = new PeriodicTask(ZONE_DIGEST_INTERVAL_MS)
  private readonly _fleet = new PeriodicTask(FLEET_DIGEST_INTERVAL_MS)
  private readonly _busy = new PeriodicTask(QUOTA_BUSY_INTERVAL_MS)
  private _busyAccounts: readonly string[] = []

  /**
   * @param quotas - Quotas whose use is reported.
   */
  constructor (quotas: AccountQuotas) {
    this._quotas = quotas
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Scopes of the digests to send now.
   */
  due (nowMs: number): readonly QuotaScope[] {
    const busy = this._quotas.busyAccounts(nowMs)
    const hasNews = busy.some(account => !this._busyAccounts.includes(account))
    this._busyAccounts = busy
    const isBusyDue = busy.length > 0 && this._busy.isDue(nowMs)
    if (hasNews || isBusyDue) return [QuotaScope.Zone, QuotaScope.Fleet]
    return [...(this._zone.isDue(nowMs) ? [QuotaScope.Zone] : []), ...(this._fleet.isDue(nowMs) ? [QuotaScope.Fleet] : [])]
  }

  /**
   * @param scope - Whose use to report.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The report; `undefined` when no quota is in use.
   */
  report (scope: QuotaScope, nowMs: number): ReportedQuotas | undefined {
    const uses = this._quotas.report(scope, MAX_ACCOUNT_USES, nowMs)
    return uses.length === 0 ? undefined : { scope, uses }
  }
}
