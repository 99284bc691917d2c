import { Writable } from 'node:stream'
import { AccountQuotas, CountedQuotaShare, ErrorKind, ManualClock, QuotaUnit, RanState, RequestError, type ClientAccount } from '@jaymill/core'
import { expect, test } from 'vitest'
import { QuotaGate } from '../../callers/JaymillQuotaGate.js'
import { GatewayLog } from '../../logging/JaymillGatewayLog.js'
import { GatewayMetrics } from '../../metrics/JaymillGatewayMetrics.js'

const ACCOUNT: ClientAccount = { name: 'a', keys: [], quota: { unit: QuotaUnit.Requests, ratePerS: 0.1, burst: 1, plainTokens: 0 } }

function start (): QuotaGate {
  const clock = new ManualClock()
  const quotas = new AccountQuotas(new CountedQuotaShare(0), 8_000)
  quotas.configure([ACCOUNT], clock.nowMs())
  const log = new GatewayLog('error', 'host', new Writable({ write: (_chunk, _encoding, done) => done() }))
  return new QuotaGate({ quotas, clock, log, metrics: new GatewayMetrics(), scheduleReport: () => {} })
}

test.each([
  ['had no capacity', new RequestError(ErrorKind.Overloaded, ''), true],
  ['was turned away by an endpoint', new RequestError(ErrorKind.EndpointRefused, '', { ran: RanState.No }), true],
  ['may have run', new RequestError(ErrorKind.EndpointFailed, '', { ran: RanState.Unknown }), false],
  ['ran', new RequestError(ErrorKind.EndpointFailed, '', { ran: RanState.Yes }), false],
  ['had no response in time', new RequestError(ErrorKind.Deadline, ''), false],
  ['was left by its caller', new RequestError(ErrorKind.CallerGone, ''), false],
  ['failed for a fault of the host', new Error('fault'), false]
])('a request that %s gives its units back only if it has certainly not run', (_case, err, givesBack) => {
  const gate = start()
  gate.enter(ACCOUNT, {}).refused(err)
  const enter = (): unknown => gate.enter(ACCOUNT, {})
  if (givesBack) expect(enter).not.toThrow()
  else expect(enter).toThrow(expect.objectContaining({ kind: ErrorKind.AccountLimit, ran: RanState.No, retryAfterMs: expect.closeTo(10_000) as number }))
})

test('requests without an account, or of one without a quota, are not limited', () => {
  const gate = start()
  expect(() => Array.from({ length: 9 }, () => [gate.enter(undefined, {}), gate.enter({ name: 'b', keys: [] }, {})])).not.toThrow()
})
