import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { setTimeout as sleep } from 'node:timers/promises'
import { ownerIn } from '@jaymill/core'
import { parseHostSettings } from '@jaymill/settings'
import { v7 as mintKey } from 'uuid'
import { afterAll, afterEach, beforeAll, describe, expect, test } from 'vitest'
import { Daemon, type DaemonUrls } from '../../JaymillDaemon.js'
import { createHostLogger } from '../../logging/JaymillLogger.js'

const ADMIN_TOKEN = 'operators-only'
const ACCOUNT = 'kerbrat'
const HOST_IDS = ['h1', 'h2'] as const
const COLD_START_DELAY_MS = 300
const POLL_MS = 20
const START_TIMEOUT_MS = 30_000
const LISTENER = { address: '127.0.0.1', port: 0 }

const CALLED_PATHS = ['/stock', '/bookings']
const HALF = 'first half'
const CLOSE_DELIMITED_HEAD = 'HTTP/1.1 200 OK\r\nX-Own: yes\r\n\r\n'
const CHUNKED_HALF = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${HALF.length.toString(16)}\r\n${HALF}\r\n`

/** Response as a caller sees it. */
interface SeenResponse {
  readonly head: string
  /** Body with its framing. */
  readonly body: string
  readonly wasReset: boolean
}

interface CallOptions {
  readonly method?: string
  readonly path?: string
  readonly httpVersion?: string
  readonly host?: string
  readonly key?: string
  /** Called once the caller has received the first half of the body. */
  readonly onHalf?: () => void
}

const folder = mkdtempSync(join(tmpdir(), 'jaymill-close-delimited-'))
const fleetPath = join(folder, 'fleet.json')
const hostsPath = join(folder, 'hosts.json')
const daemons = new Map<string, { readonly daemon: Daemon, readonly urls: DaemonUrls }>()

let endpoint: Server
let endpointSockets: Socket[] = []
let calls = 0
let respond: (socket: Socket) => void

async function startHost (id: string): Promise<void> {
  const settings = parseHostSettings(JSON.stringify({
    host: { id, zone: 'brest', region: 'b' },
    listen: { caller: LISTENER, peer: LISTENER, admin: LISTENER, metrics: LISTENER },
    platform: { kind: 'file', fleetPath, hostsPath, rereadMs: 50 },
    credentials: { peerToken: { value: 'p' }, adminToken: { value: ADMIN_TOKEN } }
  }), id)
  const daemon = new Daemon(settings, createHostLogger('error', id, new PassThrough().resume()))
  daemons.set(id, { daemon, urls: await daemon.start() })
}

async function ownsKeys (id: string): Promise<boolean> {
  const res = await fetch(`${urlsOf(id).admin}/status`, { headers: { authorization: `Bearer ${ADMIN_TOKEN}` } })
  const { idempotency } = await res.json() as { idempotency?: { leaseLeftMs: number, takeOverMs: number | null } }
  return (idempotency?.leaseLeftMs ?? 0) > 0 && (idempotency?.takeOverMs ?? Infinity) < Date.now()
}

async function until (condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) await sleep(POLL_MS)
}

function urlsOf (id: string): DaemonUrls {
  const urls = daemons.get(id)?.urls
  if (urls === undefined) throw new Error(`no host ${id}`)
  return urls
}

/** Mints keys until the host owns one. */
function mintKeyOwnedBy (id: string): string {
  const key = mintKey()
  const owner = ownerIn(`${ACCOUNT}/${key}`, { revision: 1, members: HOST_IDS, owners: HOST_IDS })
  return owner === id ? key : mintKeyOwnedBy(id)
}

/** Sends a request over its own connection and reads until the connection or, for an explicit end, the response ends. */
async function call ({ method = 'GET', path = '/stock', httpVersion = '1.1', host = 'h1', key, onHalf }: CallOptions): Promise<SeenResponse> {
  const { hostname, port } = new URL(urlsOf(host).caller)
  const socket = connect(Number(port), hostname)
  let received = ''
  let half = onHalf
  socket.on('error', () => {})
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString()
    if (!received.includes(HALF)) return
    half?.()
    half = undefined
  })
  const length = method === 'POST' ? 'Content-Length: 2\r\n' : ''
  const keyField = key === undefined ? '' : `Idempotency-Key: ${key}\r\n`
  socket.write(`${method} ${path} HTTP/${httpVersion}\r\nHost: x\r\nConnection: close\r\n${length}${keyField}\r\n${method === 'POST' ? '{}' : ''}`)
  const wasReset = await new Promise<boolean>(resolve => socket.once('close', resolve))
  const headEnd = received.indexOf('\r\n\r\n')
  return { head: received.slice(0, headEnd).toLowerCase(), body: received.slice(headEnd + 4), wasReset }
}

/** Decides like an HTTP client whether a response is complete (RFC 9112, section 8). */
function looksComplete ({ head, body, wasReset }: SeenResponse): boolean {
  const [, length] = /\r\ncontent-length: (\d+)/.exec(head) ?? []
  if (head.includes('\r\ntransfer-encoding: chunked')) return body.endsWith('0\r\n\r\n')
  return length === undefined ? !wasReset : Buffer.byteLength(body) >= Number(length)
}

function statusOf ({ head }: SeenResponse): number {
  return Number(head.split(' ')[1])
}

/** Answers calls of callers as the test says, and refuses those that hosts make on their own. */
function receive (socket: Socket, path: string): void {
  if (!CALLED_PATHS.includes(path)) {
    socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n')
    return
  }
  calls += 1
  endpointSockets.push(socket)
  respond(socket)
}

function resetEndpointConnections (): void {
  endpointSockets.forEach(socket => socket.resetAndDestroy())
}

function endEndpointConnections (): void {
  endpointSockets.forEach(socket => socket.end())
}

beforeAll(async () => {
  endpoint = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', (data: Buffer) => {
      const [, path] = /^[A-Z]+ (\S+) /.exec(data.toString()) ?? []
      if (path !== undefined) receive(socket, path)
    })
  })
  endpoint.listen(0, '127.0.0.1')
  await once(endpoint, 'listening')
  writeFileSync(fleetPath, JSON.stringify({
    revision: 1,
    pools: [{
      id: 'desk',
      role: 'service',
      adapter: 'http',
      endpoints: [{ id: 'e1', url: `http://127.0.0.1:${(endpoint.address() as AddressInfo).port}`, zone: 'brest', slots: 20 }]
    }],
    services: [{
      id: 'desk',
      pool: 'desk',
      paths: [
        { method: 'GET', path: '/stock', route: 'stock' },
        { method: 'HEAD', path: '/stock', route: 'stock' },
        { method: 'POST', path: '/bookings', route: 'booking' }
      ]
    }],
    routes: [
      { id: 'stock', class: 'lookup', idempotent: true, ttftMs: 2_000, deadlineMs: 10_000, hedging: false },
      { id: 'booking', class: 'booking', idempotent: false, ttftMs: 2_000, deadlineMs: 10_000, hedging: false }
    ],
    accounts: [{ id: ACCOUNT, keySha256: '0'.repeat(64), requestsPerSecond: 1_000, tokensPerSecond: 1_000 }],
    anonymousAccount: ACCOUNT
  }))
  await Promise.all(HOST_IDS.map(startHost))
  writeFileSync(hostsPath, JSON.stringify({
    revision: 1,
    hosts: HOST_IDS.map(id => ({ id, zone: 'brest', region: 'b', peerUrl: urlsOf(id).peer })),
    leavingEndpoints: [],
    coldStart: { revision: 1, atMs: Date.now() + COLD_START_DELAY_MS }
  }))
  await Promise.all(HOST_IDS.map(id => until(async () => (await fetch(`${urlsOf(id).admin}/readyz`)).ok && await ownsKeys(id))))
  respond = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
  await Promise.all(HOST_IDS.map(host => until(async () => (await call({ host })).head.startsWith('http/1.1 200'))))
}, START_TIMEOUT_MS)

afterEach(() => {
  endpointSockets.forEach(socket => socket.destroy())
  endpointSockets = []
  calls = 0
})

afterAll(() => {
  daemons.forEach(({ daemon }) => daemon.kill())
  endpoint.close()
  rmSync(folder, { recursive: true })
})

describe('a response without a length and without chunks', () => {
  // Guards against: a body whose connection is reset reaches the caller as a complete response.
  test.each(['1.1', '1.0'])('does not look complete over HTTP/%s when its connection is reset', async httpVersion => {
    respond = socket => socket.write(CLOSE_DELIMITED_HEAD + HALF)
    const response = await call({ httpVersion, onHalf: resetEndpointConnections })
    expect(response.body).toContain(HALF)
    expect(looksComplete(response)).toBe(false)
  })

  // Guards against: an error event completes a stream of a service that was cut off inside an event.
  test('does not look complete as a stream of events when its connection is reset', async () => {
    respond = socket => socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ${HALF}`)
    const response = await call({ onHalf: resetEndpointConnections })
    expect(response.body).toContain(HALF)
    expect(response.body).not.toContain('event: error')
    expect(looksComplete(response)).toBe(false)
  })

  // Guards against: the system ends the connections of a killed host regularly, which completes a body that is forwarded without chunks.
  test('is forwarded over HTTP/1.1 in chunks, so that only its own end completes it', async () => {
    respond = socket => socket.write(CLOSE_DELIMITED_HEAD + HALF)
    const response = await call({ onHalf: endEndpointConnections })
    expect(response.head).toContain('\r\ntransfer-encoding: chunked')
    expect(response.body).toBe(`${HALF.length.toString(16)}\r\n${HALF}\r\n0\r\n\r\n`)
  })

  // Guards against: a caller that knows no chunks gets them.
  test('is forwarded over HTTP/1.0 with the same framing', async () => {
    respond = socket => socket.end(CLOSE_DELIMITED_HEAD + HALF)
    const { head, body, wasReset } = await call({ httpVersion: '1.0' })
    expect(head).not.toMatch(/transfer-encoding|content-length/)
    expect(head).toContain('\r\nconnection: close')
    expect({ body, wasReset }).toEqual({ body: HALF, wasReset: false })
  })
})

describe.each(HOST_IDS)('a booking sent to h1 whose key is owned by %s', owner => {
  // Guards against: a retry gets a truncated response as the complete one.
  test('is not stored for replay when the connection of a body without framing is reset', async () => {
    const key = mintKeyOwnedBy(owner)
    const booking = { method: 'POST', path: '/bookings', key }
    respond = socket => socket.write(CLOSE_DELIMITED_HEAD + HALF)
    const response = await call({ ...booking, onHalf: resetEndpointConnections })
    expect(response.body).toContain(HALF)
    expect({ complete: looksComplete(response), retry: statusOf(await call(booking)) }).toEqual({ complete: false, retry: 409 })
    expect(calls).toBe(1)
  })

  // Guards against: a body that may be truncated is replayed as a complete one, or looks complete when a host on its way is killed.
  test('is forwarded in chunks, and is not stored for replay, when its body ends with its connection', async () => {
    const key = mintKeyOwnedBy(owner)
    const booking = { method: 'POST', path: '/bookings', key }
    respond = socket => socket.write(CLOSE_DELIMITED_HEAD + HALF)
    const { head, body, wasReset } = await call({ ...booking, onHalf: endEndpointConnections })
    const retry = await call(booking)
    expect({ body, wasReset, retry: statusOf(retry) }).toEqual({ body: `${HALF.length.toString(16)}\r\n${HALF}\r\n0\r\n\r\n`, wasReset: false, retry: 409 })
    expect(head).toContain('\r\ntransfer-encoding: chunked')
    expect(head).toContain('\r\nx-own: yes')
    expect(retry.body).toContain('already-ran')
    expect(calls).toBe(1)
  })

  // Guards against: a response with an explicit end is no longer replayed.
  test.each([
    ['a last chunk', 200, `${CHUNKED_HALF}0\r\n\r\n`],
    ['a length', 200, `HTTP/1.1 200 OK\r\nContent-Length: ${HALF.length}\r\n\r\n${HALF}`],
    ['length 0', 200, 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'],
    ['status 204', 204, 'HTTP/1.1 204 No Content\r\n\r\n']
  ])('is stored for replay when the response ends with %s', async (_name, status, bytes) => {
    const key = mintKeyOwnedBy(owner)
    const booking = { method: 'POST', path: '/bookings', key }
    respond = socket => socket.end(bytes)
    const response = await call(booking)
    expect(response.head).toContain(`http/1.1 ${status}`)
    expect(looksComplete(response)).toBe(true)
    const retry = await call(booking)
    expect(retry.head).toContain(`http/1.1 ${status}`)
    expect(retry.head).toContain('\r\nidempotency-replayed: true')
    expect(retry.body.includes(HALF)).toBe(bytes.includes(HALF))
    expect(calls).toBe(1)
  })

  // Guards against: a chunked response that broke off ends regularly for a caller that knows no chunks.
  test('does not look complete over HTTP/1.0 when a chunked response breaks off', async () => {
    respond = socket => socket.write(CHUNKED_HALF)
    const booking = { method: 'POST', path: '/bookings', key: mintKeyOwnedBy(owner), httpVersion: '1.0' }
    const response = await call({ ...booking, onHalf: endEndpointConnections })
    expect(response.body).toContain(HALF)
    expect(looksComplete(response)).toBe(false)
  })
})

// Guards against: `sendProblem` ends a started response regularly for a caller that knows no chunks.
test('a chunked response that breaks off does not look complete over HTTP/1.0', async () => {
  respond = socket => socket.write(CHUNKED_HALF)
  const response = await call({ httpVersion: '1.0', onHalf: endEndpointConnections })
  expect(response.body).toContain(HALF)
  expect(looksComplete(response)).toBe(false)
})

// Guards against: a response that has no body closes the caller's connection, or waits for its end.
test.each([
  ['HEAD', 'HTTP/1.1 200 OK\r\n\r\n'],
  ['GET', 'HTTP/1.1 204 No Content\r\n\r\n'],
  ['GET', 'HTTP/1.1 304 Not Modified\r\n\r\n'],
  ['GET', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n']
])('a response without a body to %s is complete: %j', async (method, bytes) => {
  respond = socket => socket.write(bytes)
  const { head, body, wasReset } = await call({ method })
  expect(head.slice(0, 12)).toBe(bytes.toLowerCase().slice(0, 12))
  expect({ body, wasReset }).toEqual({ body: '', wasReset: false })
})

// Guards against: a host that stops ends a started response regularly for a caller that knows no chunks, or without framing.
test('responses in progress do not look complete when their host stops immediately', async () => {
  respond = socket => socket.write(CLOSE_DELIMITED_HEAD + HALF)
  let halves = 0
  const onHalf = (): void => { if (++halves === 2) daemons.get('h2')?.daemon.kill() }
  const responses = await Promise.all(['1.1', '1.0'].map(httpVersion => call({ host: 'h2', httpVersion, onHalf })))
  expect(responses.map(({ body }) => body.includes(HALF))).toEqual([true, true])
  expect(responses.map(looksComplete)).toEqual([false, false])
})
