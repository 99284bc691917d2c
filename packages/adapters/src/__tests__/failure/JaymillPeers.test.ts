import { once } from 'node:events'
import http from 'node:http'
import { AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import {
  EndpointRole, ConfigHandler, ErrorKind, GrantHandler, GrantQuestion, Heartbeat, HeartbeatHandler, HostState, LeaseHandler,
  RanState, RequestError
} from '@jaymill/core'
import fc from 'fast-check'
import { generate } from 'selfsigned'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createPeerClient, createPeerServer, PeerServerOptions, PeerTls } from '../../index.js'

const TOKEN = 'peer-token'
const BEAT: Heartbeat = {
  from: 'host-1',
  incarnation: 1,
  seq: 1,
  state: HostState.Live,
  documents: [],
  updates: [],
  leavingEndpoints: [],
  health: ''
}

const QUESTION: GrantQuestion = {
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

class EchoHeartbeat extends HeartbeatHandler {
  readonly seen: Heartbeat[] = []
  async heartbeat (beat: Heartbeat): Promise<Heartbeat> {
    this.seen.push(beat)
    return { ...beat, from: 'host-2' }
  }
}

class NoLease extends LeaseHandler {
  async confirmLease (): Promise<never> {
    throw new Error('secret detail')
  }
}

class NoGrant extends GrantHandler {
  async grant (): Promise<never> {
    throw new RequestError(ErrorKind.Overloaded, 'full', { retryAfterMs: 70 })
  }

  async renew (): Promise<void> {}
  async release (): Promise<void> {}
  async lease (): Promise<never> {
    throw new RequestError(ErrorKind.Overloaded, 'full')
  }
}

class BigConfig extends ConfigHandler {
  async highWater () {
    return { from: 'host-2', incarnation: 1, documents: [] }
  }

  async document ({ key, revision }: { key: never, revision: number }) {
    return { key, revision, digest: 'a'.repeat(64), text: 'x'.repeat(4 * 1024 * 1024) }
  }
}

const echo: PeerServerOptions['forward'] = (req, res) => { req.pipe(res.writeHead(201, { 'x-path': req.url ?? '' })) }

let abort: AbortController
let beats: EchoHeartbeat
beforeEach(() => { abort = new AbortController(); beats = new EchoHeartbeat() })
afterEach(() => abort.abort())

const start = (tls?: PeerTls) => createPeerServer({
  listen: { host: '127.0.0.1', port: 0 },
  token: TOKEN,
  tls,
  handlers: { heartbeat: beats, lease: new NoLease(), grants: new NoGrant(), config: new BigConfig() },
  forward: echo
}, abort.signal)

const connect = (url: string, token = TOKEN, tls?: PeerTls) => createPeerClient({ url, token, tls }, abort.signal)

describe('calls between hosts', () => {
  test('carry heartbeats and count their bytes on both sides', async () => {
    const server = await start()
    const client = connect(server.url)
    expect(await client.heartbeat(BEAT, abort.signal)).toEqual({ ...BEAT, from: 'host-2' })
    expect(client.byteCounts().bytesOut).toBeGreaterThan(JSON.stringify(BEAT).length)
    expect(server.byteCounts()).toEqual({ bytesIn: client.byteCounts().bytesOut, bytesOut: client.byteCounts().bytesIn })
  })

  test('refuse a wrong token, also on the forwarding path', async () => {
    const server = await start()
    const client = connect(server.url, 'other')
    await expect(client.heartbeat(BEAT, abort.signal)).rejects.toMatchObject({ kind: ErrorKind.Unauthorized })
    const res = await client.forward({ path: 'v1', method: 'POST', headers: {}, body: 'x' }, abort.signal)
    expect(res.statusCode).toBe(401)
    expect(beats.seen).toEqual([])
  })

  test('keep the kind of a failure and hide unknown ones', async () => {
    const client = connect((await start()).url)
    const bad = client.grant({ ...QUESTION, request: { ...QUESTION.request, pieces: -1 } }, abort.signal)
    await expect(bad).rejects.toMatchObject({ kind: ErrorKind.BadRequest })
    const full = client.grant(QUESTION, abort.signal)
    await expect(full).rejects.toMatchObject({ kind: ErrorKind.Overloaded, ran: RanState.No, retryAfterMs: 70 })
    const lease = client.confirmLease({ from: 'a', incarnation: 1, seq: 1, known: [] }, abort.signal)
    await expect(lease).rejects.toMatchObject({ kind: ErrorKind.Invariant, message: 'internal error' })
  })

  test('refuse an oversize question and an oversize answer', async () => {
    const client = connect((await start()).url)
    await expect(client.heartbeat({ ...BEAT, health: 'x'.repeat(70_000) }, abort.signal)).rejects.toMatchObject({ kind: ErrorKind.TooLarge })
    await expect(client.document({ key: 'fleet' as never, revision: 1 }, abort.signal)).rejects.toThrow(/max size/)
    expect(beats.seen).toEqual([])
  })

  test('report a refused connection as not run and a silent peer as unknown', async () => {
    const silent = http.createServer(() => undefined).listen(0, '127.0.0.1')
    await once(silent, 'listening')
    const url = `http://127.0.0.1:${(silent.address() as AddressInfo).port}`
    const slow = createPeerClient({ url, token: TOKEN, timeoutMs: 50 }, abort.signal)
    await expect(slow.heartbeat(BEAT, abort.signal)).rejects.toMatchObject({ kind: ErrorKind.PeerFailed, ran: RanState.Unknown })
    silent.closeAllConnections()
    silent.close()
    await once(silent, 'close')
    await expect(connect(url).heartbeat(BEAT, abort.signal)).rejects.toMatchObject({ ran: RanState.No })
  })

  test('forward bodies as streams', async () => {
    const client = connect((await start()).url)
    const body = Readable.from(['one ', 'two'])
    const res = await client.forward({ path: 'v1/x?a=1', method: 'POST', headers: {}, body }, abort.signal)
    expect([res.statusCode, res.headers['x-path'], await res.body.text()]).toEqual([201, '/forward/v1/x?a=1', 'one two'])
  })

  test('survive any message', async () => {
    const server = await start()
    const client = connect(server.url)
    const post = (body: string) => fetch(`${server.url}/trpc/heartbeat.beat`, {
      method: 'POST', body, headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' }
    })
    const mutation = fc.record({ ...Object.fromEntries(Object.keys(BEAT).map(key => [key, fc.jsonValue()])) }, { requiredKeys: [] })
    await fc.assert(fc.asyncProperty(fc.oneof(fc.json(), mutation.map(part => JSON.stringify({ ...BEAT, ...part })), fc.string()), async body => {
      expect((await post(body)).status).toBeLessThan(500)
    }), { seed: 1, numRuns: 200 })
    expect(beats.seen.every(beat => Number.isInteger(beat.seq) && Array.isArray(beat.updates) && typeof beat.health === 'string')).toBe(true)
    await client.heartbeat(BEAT, abort.signal)
  })
})

describe('mutual TLS', () => {
  const issue = async (): Promise<PeerTls> => {
    const made = await generate([{ name: 'commonName', value: 'host' }], {
      keySize: 2048,
      extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }]
    })
    return { key: made.private, cert: made.cert, ca: made.cert }
  }

  test('lets in a peer with a certificate of the authority and nobody else', async () => {
    const [trusted, stranger] = await Promise.all([issue(), issue()])
    const server = await start(trusted)
    await connect(server.url, TOKEN, trusted).heartbeat(BEAT, abort.signal)
    const impostor = connect(server.url, TOKEN, { ...stranger, ca: trusted.ca })
    await expect(impostor.heartbeat(BEAT, abort.signal)).rejects.toMatchObject({ kind: ErrorKind.PeerFailed })
    const distrustful = connect(server.url, TOKEN, { ...trusted, ca: stranger.ca })
    await expect(distrustful.heartbeat(BEAT, abort.signal)).rejects.toThrow(/certificate/)
    expect(beats.seen).toHaveLength(1)
  })
})
