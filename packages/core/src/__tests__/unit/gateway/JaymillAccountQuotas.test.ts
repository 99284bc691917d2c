import { expect, test } from 'vitest'
import { AccountQuotas, CountedQuotaShare, EqualQuotaShare, QuotaScope, QuotaUnit, quotaUnits, type AccountUse, type QuotaDecision } from '../../../index.js'
import { ALLOWED, mostUsedInWindow, OVERAGE, QuotaFleet, RATE_PER_S, SLACK, unitsOwed, WINDOW_MS, type FleetScenario, type ModelRequest } from './QuotaFleet.js'

const FLEETS = [2, 7, 16, 77, 91, 195, 420]
const USUAL_PER_S = 150_000
const STEADY_PER_S = 110_000
const HOT_FROM_MS = 6_000
const HOT_UNTIL_MS = 16_000
const END_MS = 20_000
const BOUND = ALLOWED * (1 + OVERAGE) + SLACK

/** Callers of one account send seven times their usual for ten seconds. */
function hotDemand (account: string, nowMs: number): number {
  if (account === 'steady') return STEADY_PER_S
  return nowMs < HOT_FROM_MS || nowMs >= HOT_UNTIL_MS ? USUAL_PER_S : USUAL_PER_S * Math.min(7, 1 + (nowMs - HOT_FROM_MS) / 150)
}

const usualDemand = (account: string): number => account === 'steady' ? STEADY_PER_S : USUAL_PER_S

function scenarioOf (hosts: number, overrides: Partial<FleetScenario> = {}): FleetScenario {
  return { hosts, seed: hosts, endMs: END_MS, demand: hotDemand, weight: host => 1 + host % 4, lostShare: 0.05, retryShare: 0.5, ...overrides }
}

function play (scenario: FleetScenario): readonly ModelRequest[] {
  return new QuotaFleet(scenario).run()
}

const ofHot = (requests: readonly ModelRequest[]): readonly ModelRequest[] => requests.filter(({ account }) => account === 'hot')
const refused = (requests: readonly ModelRequest[]): readonly ModelRequest[] => requests.filter(({ admitted }) => !admitted)
const unitsOf = (requests: readonly ModelRequest[]): number => requests.reduce((sum, { units }) => sum + units, 0)

/** Requests refused while their account was below its limit. */
function refusedBelow (requests: readonly ModelRequest[]): readonly ModelRequest[] {
  return refused(requests).filter(({ account, atMs }) => account === 'steady' || atMs < HOT_FROM_MS)
}

test.each(FLEETS)('%i hosts keep a hot account within its quota, admit what it allows, and refuse nothing below it', hosts => {
  const requests = play(scenarioOf(hosts))
  const hot = ofHot(requests)
  expect(mostUsedInWindow(hot)).toBeLessThan(1.1 * ALLOWED)
  expect(unitsOf(hot.filter(({ admitted }) => admitted))).toBeGreaterThan(0.93 * unitsOwed(hot))
  expect(refusedBelow(requests)).toEqual([])
})

test.each(FLEETS)('%i hosts refuse nothing of accounts below their limits while hosts are killed and restarted', hosts => {
  const runs = (host: number, nowMs: number): boolean => host % 2 === 0 || nowMs < 8_000 || nowMs > 11_000
  const requests = play(scenarioOf(hosts, { demand: usualDemand, runs }))
  expect(refused(requests).length / requests.length).toBeLessThan(0.01)
})

const FAULTS: ReadonlyArray<readonly [string, Partial<FleetScenario>]> = [
  ['a sixth of the hosts are cut off, each by itself', { reaches: (a, b, nowMs) => nowMs < 5_000 || nowMs > 15_000 || (a % 6 !== 5 && b % 6 !== 5) }],
  ['the hosts are cut in two halves', { reaches: (a, b, nowMs) => nowMs < 2_000 || nowMs > 18_000 || (a % 8 < 4) === (b % 8 < 4) }],
  ['half of the hosts are killed and restarted', { runs: (host, nowMs) => host % 2 === 0 || nowMs < 8_000 || nowMs > 9_500 }],
  ['all hosts restart one after the other', { runs: (host, nowMs) => Math.abs(nowMs - 7_000 - host % 32 * 200) > 300 }],
  ['all hosts are restarted at once', { runs: (_host, nowMs) => Math.abs(nowMs - 8_000) > 300 }],
  ['a third of the reports get lost', { lostShare: 0.33 }],
  ['half of the callers use two hosts', { weight: host => host < 2 ? 100 : 1 }]
]

test.each(FAULTS)('an account that is over its limit stays within the tolerance while %s', (_name, fault) => {
  [7, 91].forEach(hosts => expect(mostUsedInWindow(ofHot(play(scenarioOf(hosts, fault)))), `${hosts} hosts`).toBeLessThan(BOUND))
})

/** The quota falls below what the account sends; hosts learn of it within two seconds. */
const LOWERED: Partial<FleetScenario> = { demand: () => 1.5 * USUAL_PER_S, rate: (nowMs, host) => nowMs < 8_000 + host % 20 * 100 ? RATE_PER_S : RATE_PER_S / 4 }
const LOWERED_FROM_MS = 11_000

test.each([7, 91])('a quota that falls below what an account sends holds at %i hosts within one window', hosts => {
  const requests = ofHot(play(scenarioOf(hosts, { ...LOWERED, endMs: LOWERED_FROM_MS + 2 * WINDOW_MS })))
  const used = mostUsedInWindow(requests, LOWERED_FROM_MS)
  expect(used).toBeLessThan(ALLOWED / 4 * 1.1)
  expect(used).toBeGreaterThan(ALLOWED / 4 * 0.8)
})

/** Ignores what other hosts use. */
class AloneShare extends CountedQuotaShare {
  override readonly countsOthers = false
}

/** Lets hosts that are cut off use the whole quota. */
class WholePartShare extends CountedQuotaShare {
  override part (): number { return 1 }
}

/** Reports demand, but not what has been used. */
class UncountedQuotas extends AccountQuotas {
  override report (scope: QuotaScope, max: number, nowMs: number): readonly AccountUse[] {
    return super.report(scope, max, nowMs).map(({ account, demandPerS }) => ({ account, demandPerS, used: 0, recent: 0 }))
  }
}

/** Counts a request as not used when it has been admitted. */
class GivingBackQuotas extends AccountQuotas {
  override take (account: string, units: number, nowMs: number): QuotaDecision {
    const decision = super.take(account, units, nowMs)
    if (decision.admitted) this.giveBack(account, units / 2, nowMs)
    return decision
  }
}

/** Keeps the first quotas that it gets. */
class FirstQuotas extends AccountQuotas {
  private _configured = false
  override configure (...args: Parameters<AccountQuotas['configure']>): void {
    if (!this._configured) super.configure(...args)
    this._configured = true
  }
}

const share = (): CountedQuotaShare => new CountedQuotaShare(OVERAGE)

test('the check shows equal parts that refuse requests below the limit', () => {
  const requests = play(scenarioOf(91, { share: new EqualQuotaShare() }))
  expect(refusedBelow(requests).length).toBeGreaterThan(50)
  expect(unitsOf(ofHot(requests).filter(({ admitted }) => admitted))).toBeLessThan(0.85 * unitsOwed(ofHot(requests)))
})

test.each<[string, Partial<FleetScenario>]>([
  ['hosts that ignore the use of others', { share: new AloneShare(OVERAGE) }],
  ['use that is not reported', { create: () => new UncountedQuotas(share(), WINDOW_MS) }],
  ['requests that count by half', { create: () => new GivingBackQuotas(share(), WINDOW_MS) }],
  ['hosts that are cut off and use the whole quota', { share: new WholePartShare(OVERAGE), ...FAULTS[1]?.[1] }],
  ['a lowered quota that is not applied', { ...LOWERED, create: () => new FirstQuotas(share(), WINDOW_MS) }]
])('the check shows %s', (_name, mutant) => {
  const requests = ofHot(play(scenarioOf(91, mutant)))
  if (mutant.rate === undefined) expect(mostUsedInWindow(requests)).toBeGreaterThan(1.1 * ALLOWED)
  else expect(mostUsedInWindow(requests, LOWERED_FROM_MS)).toBeGreaterThan(ALLOWED / 4 * 1.1)
})

const QUOTA = { unit: QuotaUnit.Requests, ratePerS: 10, burst: 5, plainTokens: 200 }

function single (): AccountQuotas {
  const quotas = new AccountQuotas(share(), WINDOW_MS)
  quotas.configure([{ name: 'a', keys: [], quota: QUOTA }, { name: 'free', keys: [] }], 0)
  return quotas
}

test('a single host admits exactly rate and burst, and tells refused callers when there is room for each of them', () => {
  const quotas = single()
  const decisions = Array.from({ length: 8 }, () => quotas.take('a', 1, 0))
  expect(decisions.map(({ admitted }) => admitted)).toEqual([true, true, true, true, true, false, false, false])
  expect(decisions.slice(5).map(({ retryAfterMs }) => Math.round(retryAfterMs))).toEqual([100, 200, 300])
  expect([100, 200, 300].map(nowMs => quotas.take('a', 1, nowMs + 1).admitted)).toEqual([true, true, true])
  quotas.giveBack('a', 1, 302)
  expect(quotas.take('a', 1, 303).admitted).toBe(true)
  expect(quotas.take('free', 1_000, 0).admitted).toBe(true)
})

test('state is only kept for accounts with a quota that are in use', () => {
  const quotas = single()
  quotas.merge({ source: 'h', scope: QuotaScope.Host, process: 'h@1' }, [{ account: 'unknown', used: 5, demandPerS: 5, recent: 5 }, { account: 'a', used: 5, demandPerS: 5, recent: 5 }], 0)
  expect(quotas.report(QuotaScope.Fleet, 16, 10).map(({ account }) => account)).toEqual(['a'])
  quotas.observeHosts(1, 1, 200_000)
  expect(quotas.report(QuotaScope.Fleet, 16, 200_000)).toEqual([])
})

test('a request costs one, or the tokens that it declares', () => {
  expect(quotaUnits(QUOTA, 5_000)).toBe(1)
  expect(quotaUnits({ ...QUOTA, unit: QuotaUnit.Tokens }, 5_000)).toBe(5_000)
  expect(quotaUnits({ ...QUOTA, unit: QuotaUnit.Tokens }, undefined)).toBe(200)
})
