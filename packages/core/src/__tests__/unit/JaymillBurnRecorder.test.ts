import { describe, expect, test } from 'vitest'
import { BurnRecorder } from '../../burn/JaymillBurnRecorder.js'
import { BurnAlarm, mergeBurnReports } from '../../burn/JaymillBurnReport.js'
import { classifyServiceLevel, ServiceLevel } from '../../burn/JaymillServiceLevel.js'
import { ErrorKind } from '../../errors/JaymillError.js'

const MINUTE_MS = 60_000
const TARGETS = { ttftMs: 940, interTokenMs: 31 }

function feed (recorder: BurnRecorder, count: number, bad: number, nowMs: number, accountId = 'a') {
  Array.from({ length: count }, (_, i) => i < bad ? ServiceLevel.Late : ServiceLevel.Met)
    .forEach(level => recorder.record({ routeId: 'verdict', accountId, level }, nowMs))
}

describe('BurnRecorder', () => {
  test('reports the burn rate per window and drops expired requests', () => {
    const recorder = new BurnRecorder()
    feed(recorder, 100, 10, 0)
    feed(recorder, 100, 0, 30 * MINUTE_MS)
    const [row] = recorder.report(30 * MINUTE_MS, 10).routes
    expect(row?.windows.map(({ total, bad, burnRate }) => [total, bad, burnRate])).toEqual([[100, 0, 0], [200, 10, 1], [200, 10, 1]])
    expect(recorder.report(24 * 60 * MINUTE_MS, 10).routes).toEqual([])
  })

  test.each([
    [BurnAlarm.Fast, 100, 31],
    [BurnAlarm.Slow, 100, 30],
    [BurnAlarm.None, 100, 5],
    [BurnAlarm.None, 19, 19]
  ])('raises alarm %s at %i requests of which %i are bad', (alarm, count, bad) => {
    const recorder = new BurnRecorder()
    feed(recorder, count, bad, 0)
    expect(recorder.report(0, 10).routes[0]?.alarm).toBe(alarm)
  })

  test('limits the number of counted accounts and reports those with the highest burn', () => {
    const recorder = new BurnRecorder(1_000)
    Array.from({ length: 2_600 }, (_, i) => feed(recorder, 2, i === 2_599 ? 2 : 0, i, `account-${i}`))
    expect(recorder.accountSeries).toBe(1_000)
    const report = recorder.report(2_600, 3)
    expect(report.accounts.map(row => row.accountId)[0]).toBe('account-2599')
    expect(report.accounts).toHaveLength(3)
    expect(report.routes[0]?.windows[0]?.total).toBe(5_200)
  })

  test('drops the least recently used pair, not the oldest', () => {
    const recorder = new BurnRecorder(2)
    const accounts = ['a', 'b', 'a', 'c']
    accounts.forEach((account, i) => feed(recorder, 1, 0, i, account))
    expect(recorder.report(4, 5).accounts.map(row => row.accountId).sort()).toEqual(['a', 'c'])
  })

  test('merges the reports of hosts by counts, not by rates', () => {
    const hosts = [new BurnRecorder(), new BurnRecorder()] as const
    feed(hosts[0], 10, 10, 0)
    feed(hosts[1], 390, 10, 0)
    const merged = mergeBurnReports(hosts.map(host => host.report(0, 5)), 5)
    expect(merged.routes[0]?.windows[0]).toMatchObject({ total: 400, bad: 20, burnRate: 1 })
  })
})

test.each([
  [ServiceLevel.Met, { ttftMs: 940, interTokenMs: 31 }],
  [ServiceLevel.Late, { ttftMs: 941, interTokenMs: 1 }],
  [ServiceLevel.Late, { ttftMs: 1, interTokenMs: 31.1 }],
  [ServiceLevel.Failed, { errorKind: ErrorKind.Overloaded }],
  [ServiceLevel.Excluded, { errorKind: ErrorKind.CallerGone, ttftMs: 9_999 }]
])('classifies a request as %s with %j', (level, request) => {
  expect(classifyServiceLevel(request, TARGETS)).toBe(level)
})
