import { BurnRecorder, ManualClock, RanState, RequestRecord, RouteClass } from '@jaymill/core'
import { expect, test } from 'vitest'
import type { HostContext } from '../../JaymillHostContext.js'
import { createHostLogger } from '../../logging/JaymillLogger.js'
import { HostMetrics } from '../../metrics/JaymillHostMetrics.js'
import { reportRequest } from '../../requests/JaymillRequestReporter.js'

test('a late response without a recorded first byte counts against the error budget', () => {
  const burn = new BurnRecorder()
  const routes = [{ id: 'booking', ttftMs: 940, interTokenMs: 0 }]
  const log = createHostLogger('error', 'h1')
  const ctx = {
    burn, metrics: new HostMetrics(), log, clock: new ManualClock(), fleet: () => ({ routes })
  } as unknown as HostContext
  const endings = [940, 941]
  endings.forEach(endMs => {
    const record = new RequestRecord({ requestId: 'r', accountId: 'a', routeId: 'booking', routeClass: RouteClass.Booking }, 0)
    record.end({ ran: RanState.Yes }, endMs)
    reportRequest(ctx, record)
  })
  expect(burn.report(0, 1).routes[0]?.windows[0]).toMatchObject({ total: 2, bad: 1 })
})
