import { PassThrough } from 'node:stream'
import { ErrorKind, RequestError } from '@jaymill/core'
import { expect, test } from 'vitest'
import { createHostLogger } from '../../logging/JaymillLogger.js'

test('log lines contain no secrets, neither in nested values nor inside texts or errors', () => {
  const stream = new PassThrough()
  const log = createHostLogger('info', 'h1', stream)
  const secret = 's3cr3t'
  log.info(`call with Bearer ${secret}`, {
    requestId: 'r1',
    headers: { authorization: `Bearer ${secret}`, 'X-Api-Key': secret, accept: 'text/plain' },
    nested: [{ adminToken: secret }, `Authorization: Basic ${secret}`],
    peerToken: secret,
    err: new RequestError(ErrorKind.PeerFailed, `refused Bearer ${secret}`, { cause: new Error(secret) }),
    tokens: 7
  })
  const text = String(stream.read())
  expect(text).not.toContain(secret)
  expect(JSON.parse(text)).toMatchObject({
    host: 'h1', level: 'info', requestId: 'r1', tokens: 7, headers: { accept: 'text/plain' }, err: { kind: 'peer-failed' }
  })
})
