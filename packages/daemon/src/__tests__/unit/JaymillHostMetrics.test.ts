import { RanState, RequestRecord, RouteClass } from '@jaymill/core'
import { expect, test } from 'vitest'
import { HostMetrics } from '../../metrics/JaymillHostMetrics.js'

function ended (accountId: string, routeId: string): RequestRecord {
  const record = new RequestRecord({ requestId: `r-${accountId}`, accountId, routeId, routeClass: RouteClass.Verdict }, 0)
  record.recordTokens(500, 1)
  record.recordTokens(530, 1)
  record.end({ ran: RanState.Yes }, 600)
  return record
}

test('2,600 accounts and 500 routes produce a bounded number of lines without account ids', async () => {
  const metrics = new HostMetrics()
  metrics.countRequest(ended('acct-first', 'route-0'))
  const initialLineCount = (await metrics.text()).split('\n').length
  Array.from({ length: 2_600 }, (_, i) => metrics.countRequest(ended(`acct-${i}`, `route-${i % 500}`)))
  const text = await metrics.text()
  expect(text).not.toContain('acct-')
  expect(text.split('\n').length).toBeLessThanOrEqual(initialLineCount + 2 * 64)
  expect(text).toContain('route="other"')
  expect(text).toContain('jaymill_ttft_seconds_count{class="verdict"} 2601')
})
