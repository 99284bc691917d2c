import { QuotaScope, type AccountQuotas } from '@jaymill/core'
import { FLEET_DIGEST_INTERVAL_MS, MAX_ACCOUNT_USES, QUOTA_BUSY_INTERVAL_MS, ZONE_DIGEST_INTERVAL_MS } from './constants.js'
import type { ReportedQuotas } from './JaymillHostMessage.js'

const INTERVALS_MS = new Map([[QuotaScope.Zone, ZONE_DIGEST_INTERVAL_MS], [QuotaScope.Fleet, FLEET_DIGEST_INTERVAL_MS]])

/** Decides when a relay sends digests of the use of quotas: as often as those of the work, or more often while an account is close to its limit. */
export class QuotaReportSchedule {
  private readonly _quotas: AccountQuotas
  private readonly _sentMs = new Map<QuotaScope, number>()

  /**
   * @param quotas - Quotas whose use is reported.
   */
  constructor (quotas: AccountQuotas) {
    this._quotas = quotas
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Scopes of the digests to send now; their intervals start again.
   */
  due (nowMs: number): readonly QuotaScope[] {
    const longestMs = this._quotas.busyAccounts(nowMs).length > 0 ? QUOTA_BUSY_INTERVAL_MS : Number.POSITIVE_INFINITY
    const scopes = [...INTERVALS_MS]
      .filter(([scope, ms]) => nowMs - (this._sentMs.get(scope) ?? Number.NEGATIVE_INFINITY) >= Math.min(ms, longestMs))
      .map(([scope]) => scope)
    scopes.forEach(scope => this._sentMs.set(scope, nowMs))
    return scopes
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
