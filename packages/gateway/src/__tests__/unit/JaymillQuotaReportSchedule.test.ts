import { AccountQuotas, CountedQuotaShare, QuotaScope, QuotaUnit } from '@jaymill/core'
import { expect, test } from 'vitest'
import { QuotaReportSchedule } from '../../peers/JaymillQuotaReportSchedule.js'

const END_MS = 12_000
const TICK_MS = 100

/** Number of digests of each scope while callers ask for a share of the quota. */
function digests (share: number): Readonly<Record<string, number>> {
  const quotas = new AccountQuotas(new CountedQuotaShare(0), 8_000)
  quotas.configure([{ name: 'a', keys: [], quota: { unit: QuotaUnit.Tokens, ratePerS: 1_000, burst: 1_000, plainTokens: 0 } }], 0)
  const schedule = new QuotaReportSchedule(quotas)
  const sent = Array.from({ length: END_MS / TICK_MS }, (_, i) => i * TICK_MS).flatMap(nowMs => {
    quotas.take('a', share * TICK_MS, nowMs)
    return schedule.due(nowMs)
  })
  return { zone: sent.filter(scope => scope === QuotaScope.Zone).length, fleet: sent.filter(scope => scope === QuotaScope.Fleet).length }
}

test('digests of quotas are sent as often as those of the work, and more often while an account is close to its limit', () => {
  expect(digests(0.5)).toEqual({ zone: 12, fleet: 6 })
  expect(digests(3)).toEqual({ zone: 20, fleet: 20 })
})

test('nothing is reported while no quota is in use', () => {
  const quotas = new AccountQuotas(new CountedQuotaShare(0), 8_000)
  expect(new QuotaReportSchedule(quotas).report(QuotaScope.Host, 0)).toBeUndefined()
})
