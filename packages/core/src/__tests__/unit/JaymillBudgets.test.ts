import { expect, test } from 'vitest'
import { RouteClass, RouteConfig } from '../../fleet/JaymillFleetConfig.js'
import { HEDGE_BURST, HEDGE_SHARE, RETRY_BURST, RETRY_SHARE } from '../../health/constants.js'
import { PercentileHedge } from '../../health/JaymillHedgePolicy.js'
import { RetryBudget } from '../../health/JaymillRetryBudget.js'
import { SeededRandom } from '../../ports/JaymillRandom.js'

const lookup: RouteConfig = {
  id: 'stock', class: RouteClass.Lookup, idempotent: true, hedging: true, ttftMs: 50, interTokenMs: 0, deadlineMs: 1_000
}

test('retries never exceed their share plus the burst, for each route by itself', () => {
  const budget = new RetryBudget(new SeededRandom(1))
  const granted = Array.from({ length: 1_000 }, () => {
    budget.counted('a')
    return [1, 2, 3].filter(() => budget.spend('a')).length
  }).reduce((sum, count) => sum + count, 0)
  expect(granted).toBeLessThanOrEqual(1_000 * RETRY_SHARE + RETRY_BURST)
  expect(granted).toBeGreaterThan(1_000 * RETRY_SHARE - 1)
  expect(budget.spend('b')).toBe(true)
})

test('only idempotent lookups that allow it are hedged, after their own p95 and inside the budget', () => {
  const hedge = new PercentileHedge()
  expect(hedge.delayMs(lookup, 0)).toBeNull()
  Array.from({ length: 100 }, (_, i) => hedge.observe(lookup, i < 90 ? 10 : 200))
  expect(hedge.delayMs(lookup, 1)).toBeGreaterThanOrEqual(190)
  const others: RouteConfig[] = [
    { ...lookup, idempotent: false }, { ...lookup, hedging: false }, { ...lookup, class: RouteClass.Booking }
  ]
  expect(others.map(route => [hedge.delayMs(route, 1), hedge.spend(route)])).toEqual(others.map(() => [null, false]))
  const sent = Array.from({ length: 1_000 }, () => hedge.delayMs(lookup, 2) !== null && hedge.spend(lookup)).filter(Boolean)
  expect(sent.length).toBeLessThanOrEqual(1_000 * HEDGE_SHARE + HEDGE_BURST)
})
