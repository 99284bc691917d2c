import { expect, test } from 'vitest'
import { RouteClass, RouteConfig } from '../../fleet/JaymillFleetConfig.js'
import { HEDGE_BURST, HEDGE_SHARE, RETRY_BURST, RETRY_SHARE } from '../../health/constants.js'
import { PercentileHedge } from '../../health/JaymillHedgePolicy.js'
import { RetryBudget } from '../../health/JaymillRetryBudget.js'
import { SeededRandom } from '../../ports/JaymillRandom.js'

const lookup: RouteConfig = {
  id: 'stock', class: RouteClass.Lookup, idempotent: true, hedging: true, ttftMs: 50, interTokenMs: 0, deadlineMs: 1_000
}

test('retries never exceed their share of requests plus the burst, separately for each route', () => {
  const budget = new RetryBudget(new SeededRandom(1))
  const granted = Array.from({ length: 1_000 }, () => {
    budget.recordRequest('a')
    return [1, 2, 3].filter(() => budget.trySpend('a')).length
  }).reduce((sum, count) => sum + count, 0)
  expect(granted).toBeLessThanOrEqual(1_000 * RETRY_SHARE + RETRY_BURST)
  expect(granted).toBeGreaterThan(1_000 * RETRY_SHARE - 1)
  expect(budget.trySpend('b')).toBe(true)
})

test('hedges only idempotent lookups with hedging enabled, after the p95 latency of their route and within the budget', () => {
  const hedge = new PercentileHedge()
  expect(hedge.delayMs(lookup, 0)).toBeNull()
  Array.from({ length: 100 }, (_, i) => hedge.observe(lookup, i < 90 ? 10 : 200))
  expect(hedge.delayMs(lookup, 1)).toBeGreaterThanOrEqual(190)
  const others: RouteConfig[] = [
    { ...lookup, idempotent: false }, { ...lookup, hedging: false }, { ...lookup, class: RouteClass.Booking }
  ]
  expect(others.map(route => [hedge.delayMs(route, 1), hedge.trySpend(route)])).toEqual(others.map(() => [null, false]))
  const sent = Array.from({ length: 1_000 }, () => hedge.delayMs(lookup, 2) !== null && hedge.trySpend(lookup)).filter(Boolean)
  expect(sent.length).toBeLessThanOrEqual(1_000 * HEDGE_SHARE + HEDGE_BURST)
})
