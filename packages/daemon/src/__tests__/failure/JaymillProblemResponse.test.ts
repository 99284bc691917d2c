import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { ErrorKind, RequestError } from '@jaymill/core'
import { expect, test } from 'vitest'
import { sendProblem } from '../../callers/JaymillProblemResponse.js'

const HALF = 'first half'

// Guards against: a caller that knows no chunks gets a regular end, also when its event loop finds the data and a reset together.
test('a response over HTTP/1.0 that fails directly after data is not ended regularly', async () => {
  const server = createServer((_req, res) => {
    res.write(HALF, () => sendProblem(res, new RequestError(ErrorKind.EndpointFailed, 'the endpoint failed')))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  socket.on('error', () => {})
  socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
  socket.write('GET / HTTP/1.0\r\n\r\n')
  const wasReset = await new Promise<boolean>(resolve => socket.once('close', resolve))
  server.close()
  expect(received).toContain(HALF)
  expect(wasReset).toBe(true)
})
