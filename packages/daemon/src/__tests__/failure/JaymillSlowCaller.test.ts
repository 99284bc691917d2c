import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { AddressInfo, connect, Socket } from 'node:net'
import { ErrorKind, RequestError } from '@jaymill/core'
import { expect, test, vi, type MockInstance } from 'vitest'
import { callerSignal, writeToCaller } from '../../callers/JaymillCallerExchange.js'

const CHUNK = Buffer.alloc(1_048_576)
const STALL_MS = 50

interface Outcome {
  readonly err: unknown
  readonly buffered: number
}

/** Sends to a caller that reads nothing until the host gives up. */
async function flood (httpVersion: string): Promise<Outcome & { reset: MockInstance, socket: Socket, server: Server }> {
  let report: (outcome: Outcome) => void = () => {}
  const outcome = new Promise<Outcome>(resolve => { report = resolve })
  const server = createServer((_req, res) => {
    const signal = callerSignal(res)
    const sendWithoutEnd = async (): Promise<never> => {
      while (true) await writeToCaller(res, CHUNK, STALL_MS, signal)
    }
    sendWithoutEnd().catch(err => report({ err, buffered: res.writableLength }))
  })
  const reset = vi.spyOn(Socket.prototype, 'resetAndDestroy')
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => {})
  socket.pause()
  socket.write(`GET / HTTP/${httpVersion}\r\nHost: x\r\n\r\n`)
  return { ...await outcome, reset, socket, server }
}

test('disconnects a caller that reads nothing while buffering a bounded amount of memory', async () => {
  const { err, buffered, socket, server } = await flood('1.1')
  socket.destroy()
  server.close()
  expect(err).toBeInstanceOf(RequestError)
  expect((err as RequestError).kind).toBe(ErrorKind.CallerGone)
  expect(buffered).toBeLessThanOrEqual(2 * CHUNK.length)
})

// Guards against: a caller that knows no chunks gets a regular end when it was disconnected because it read nothing. A caller in
// Node.js would not show it: libuv reports data and a reset that it finds together as data and a regular end.
test('resets a caller over HTTP/1.0 that reads nothing', async () => {
  const { reset, socket, server } = await flood('1.0')
  socket.destroy()
  server.close()
  expect(reset).toHaveBeenCalledOnce()
})
