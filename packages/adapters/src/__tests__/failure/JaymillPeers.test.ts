import { once } from 'node:events'
import http from 'node:http'
import { AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import {
  ConfigHandler, EndpointReservationRequest, EndpointRole, ErrorKind, Heartbeat, HeartbeatHandler, HostState,
  LeaseHandler, RanState, RequestError, ReservationHandler
} from '@jaymill/core'
import fc from 'fast-check'
import { generate } from 'selfsigned'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createPeerClient, createPeerServer, PeerServerOptions, PeerTls } from '../../index.js'

const TOKEN = 'peer-token'
const HEARTBEAT: Heartbeat = {
  from: 'host-1',
  incarnation: 1,
  seq: 1,
  state: HostState.Live,
  documents: [],
  updates: [],
  leavingEndpoints: [],
  health: ''
}

const RESERVATION_REQUEST: EndpointReservationRequest = {
  endpointId: 'decode-1',
  request: {
    requestId: 'req-1',
    attempt: 1,
    stage: EndpointRole.Decode,
    hostId: 'a',
    incarnation: 1,
    pieces: 1,
    transferBytes: 0,
    startInMs: 0,
    expectedMs: 1,
    nonce: 'n'
  }
}

class EchoHeartbeatHandler extends HeartbeatHandler {
  readonly seen: Heartbeat[] = []
  async heartbeat (heartbeat: Heartbeat): Promise<Heartbeat> {
    this.seen.push(heartbeat)
    return { ...heartbeat, from: 'host-2' }
  }
}

class FailingLeaseHandler extends LeaseHandler {
  async confirmLease (): Promise<never> {
    throw new Error('secret detail')
  }
}

class OverloadedReservationHandler extends ReservationHandler {
  async grant (): Promise<never> {
    throw new RequestError(ErrorKind.Overloaded, 'full', { retryAfterMs: 70 })
  }

  async renew (): Promise<void> {}
  async release (): Promise<void> {}
  async lease (): Promise<never> {
    throw new RequestError(ErrorKind.Overloaded, 'full')
  }
}

class OversizeConfigHandler extends ConfigHandler {
  async highWater () {
    return { from: 'host-2', incarnation: 1, documents: [] }
  }

  async document ({ key, revision }: { key: never, revision: number }) {
    return { key, revision, digest: 'a'.repeat(64), text: 'x'.repeat(4 * 1024 * 1024) }
  }
}

const echo: PeerServerOptions['forward'] = (req, res) => { req.pipe(res.writeHead(201, { 'x-path': req.url ?? '' })) }

let abort: AbortController
let heartbeatHandler: EchoHeartbeatHandler
beforeEach(() => { abort = new AbortController(); heartbeatHandler = new EchoHeartbeatHandler() })
afterEach(() => abort.abort())

const start = (tls?: PeerTls) => createPeerServer({
  listen: { host: '127.0.0.1', port: 0 },
  token: TOKEN,
  tls,
  handlers: {
    heartbeat: heartbeatHandler,
    lease: new FailingLeaseHandler(),
    reservations: new OverloadedReservationHandler(),
    config: new OversizeConfigHandler()
  },
  forward: echo
}, abort.signal)

const connect = (url: string, token = TOKEN, tls?: PeerTls) => createPeerClient({ url, token, tls }, abort.signal)

describe('calls between hosts', () => {
  test('transfer heartbeats and count the bytes on both sides', async () => {
    const server = await start()
    const client = connect(server.url)
    expect(await client.heartbeat(HEARTBEAT, abort.signal)).toEqual({ ...HEARTBEAT, from: 'host-2' })
    expect(client.byteCounts().bytesOut).toBeGreaterThan(JSON.stringify(HEARTBEAT).length)
    expect(server.byteCounts()).toEqual({ bytesIn: client.byteCounts().bytesOut, bytesOut: client.byteCounts().bytesIn })
  })

  test('reject a wrong token, also on the forwarding path', async () => {
    const server = await start()
    const client = connect(server.url, 'other')
    await expect(client.heartbeat(HEARTBEAT, abort.signal)).rejects.toMatchObject({ kind: ErrorKind.Unauthorized })
    const res = await client.forward({ path: 'v1', method: 'POST', headers: {}, body: 'x' }, abort.signal)
    expect(res.statusCode).toBe(401)
    expect(heartbeatHandler.seen).toEqual([])
  })

  test('preserve the kind of a typed failure and hide the message of any other', async () => {
    const client = connect((await start()).url)
    const bad = client.reserve({ ...RESERVATION_REQUEST, request: { ...RESERVATION_REQUEST.request, pieces: -1 } }, abort.signal)
    await expect(bad).rejects.toMatchObject({ kind: ErrorKind.BadRequest })
    const full = client.reserve(RESERVATION_REQUEST, abort.signal)
    await expect(full).rejects.toMatchObject({ kind: ErrorKind.Overloaded, ran: RanState.No, retryAfterMs: 70 })
    const lease = client.confirmLease({ from: 'a', incarnation: 1, seq: 1, known: [] }, abort.signal)
    await expect(lease).rejects.toMatchObject({ kind: ErrorKind.Invariant, message: 'internal error' })
  })

  test('reject an oversize request and an oversize response', async () => {
    const client = connect((await start()).url)
    await expect(client.heartbeat({ ...HEARTBEAT, health: 'x'.repeat(70_000) }, abort.signal))
      .rejects.toMatchObject({ kind: ErrorKind.TooLarge })
    await expect(client.document({ key: 'fleet' as never, revision: 1 }, abort.signal)).rejects.toThrow(/max size/)
    expect(heartbeatHandler.seen).toEqual([])
  })

  test('report a refused connection as not run and an unresponsive peer as unknown', async () => {
    const unresponsive = http.createServer(() => undefined).listen(0, '127.0.0.1')
    await once(unresponsive, 'listening')
    const url = `http://127.0.0.1:${(unresponsive.address() as AddressInfo).port}`
    const slow = createPeerClient({ url, token: TOKEN, timeoutMs: 50 }, abort.signal)
    await expect(slow.heartbeat(HEARTBEAT, abort.signal))
      .rejects.toMatchObject({ kind: ErrorKind.PeerFailed, ran: RanState.Unknown })
    unresponsive.closeAllConnections()
    unresponsive.close()
    await once(unresponsive, 'close')
    await expect(connect(url).heartbeat(HEARTBEAT, abort.signal)).rejects.toMatchObject({ ran: RanState.No })
  })

  test('forward bodies as streams', async () => {
    const client = connect((await start()).url)
    const body = Readable.from(['one ', 'two'])
    const res = await client.forward({ path: 'v1/x?a=1', method: 'POST', headers: {}, body }, abort.signal)
    expect([res.statusCode, res.headers['x-path'], await res.body.text()]).toEqual([201, '/forward/v1/x?a=1', 'one two'])
  })

  test('respond to arbitrary messages without a server error and handle only valid ones', async () => {
    const server = await start()
    const client = connect(server.url)
    const post = (body: string) => fetch(`${server.url}/trpc/heartbeat.beat`, {
      method: 'POST', body, headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' }
    })
    const mutation = fc.record({
      ...Object.fromEntries(Object.keys(HEARTBEAT).map(key => [key, fc.jsonValue()]))
    }, { requiredKeys: [] })
    await fc.assert(fc.asyncProperty(
      fc.oneof(fc.json(), mutation.map(part => JSON.stringify({ ...HEARTBEAT, ...part })), fc.string()),
      async body => {
        expect((await post(body)).status).toBeLessThan(500)
      }
    ), { seed: 1, numRuns: 200 })
    expect(heartbeatHandler.seen.every(heartbeat =>
      Number.isInteger(heartbeat.seq) && Array.isArray(heartbeat.updates) && typeof heartbeat.health === 'string'
    )).toBe(true)
    await client.heartbeat(HEARTBEAT, abort.signal)
  })
})

describe('mutual TLS', () => {
  const issueCertificate = async (): Promise<PeerTls> => {
    const generated = await generate([{ name: 'commonName', value: 'host' }], {
      keySize: 2048,
      extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
    })
    return { key: generated.private, cert: generated.cert, ca: generated.cert }
  }

  test('accepts only peers with a certificate of the authority', async () => {
    const [trusted, untrusted] = await Promise.all([issueCertificate(), issueCertificate()])
    const server = await start(trusted)
    await connect(server.url, TOKEN, trusted).heartbeat(HEARTBEAT, abort.signal)
    const untrustedClient = connect(server.url, TOKEN, { ...untrusted, ca: trusted.ca })
    await expect(untrustedClient.heartbeat(HEARTBEAT, abort.signal)).rejects.toMatchObject({ kind: ErrorKind.PeerFailed })
    const distrustingClient = connect(server.url, TOKEN, { ...trusted, ca: untrusted.ca })
    await expect(distrustingClient.heartbeat(HEARTBEAT, abort.signal)).rejects.toThrow(/certificate/)
    expect(heartbeatHandler.seen).toHaveLength(1)
  })
})
