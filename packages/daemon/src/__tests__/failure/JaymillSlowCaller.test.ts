import { once } from 'node:events'
import { createServer } from 'node:http'
import { AddressInfo, connect } from 'node:net'
import { ErrorKind, RequestError } from '@jaymill/core'
import { expect, test } from 'vitest'
import { callerSignal, writeToCaller } from '../../callers/JaymillCallerExchange.js'

const CHUNK = Buffer.alloc(1_048_576)
const STALL_MS = 50

test('disconnects a caller that reads nothing while buffering a bounded amount of memory', async () => {
  let report: (outcome: { err: unknown, buffered: number }) => void = () => {}
  const outcome = new Promise<{ err: unknown, buffered: number }>(resolve => { report = resolve })
  const server = createServer((_req, res) => {
    const signal = callerSignal(res)
    const flood = async (): Promise<never> => {
      while (true) await writeToCaller(res, CHUNK, STALL_MS, signal)
    }
    flood().catch(err => report({ err, buffered: res.writableLength }))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => {})
  socket.pause()
  socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n')
  const { err, buffered } = await outcome
  socket.destroy()
  server.close()
  expect(err).toBeInstanceOf(RequestError)
  expect((err as RequestError).kind).toBe(ErrorKind.CallerGone)
  expect(buffered).toBeLessThanOrEqual(2 * CHUNK.length)
})
