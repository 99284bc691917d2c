import { PassThrough } from 'node:stream'
import { RequestEvent, RequestLog, RouteClass } from '@jaymill/core'
import { expect, test } from 'vitest'
import { decisionLogger } from '../../logging/JaymillDecisionLog.js'
import { createHostLogger } from '../../logging/JaymillLogger.js'

test('a retry is logged as one line with request id, reason and target; an admission is not logged as info', () => {
  const stream = new PassThrough()
  const requests = new RequestLog(1, decisionLogger(createHostLogger('info', 'h1', stream)))
  const record = requests.open({ requestId: 'r1', accountId: 'a', routeId: 'verdict', routeClass: RouteClass.Verdict }, 0)
  record.decide(RequestEvent.Admit, 'admitted', 1)
  record.decide(RequestEvent.Retry, 'endpoint died', 5, 'd1')
  const lines = String(stream.read()).trim().split('\n').map(line => JSON.parse(line))
  expect(lines).toMatchObject([
    { message: 'request decision', requestId: 'r1', event: 'retry', reason: 'endpoint died', target: 'd1' }
  ])
})
