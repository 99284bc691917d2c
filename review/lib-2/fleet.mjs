import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { fillTemplate, readDeployFile } from './settings.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

/** Returns ports that are free at any address. */
async function freePorts (count) {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(server => new Promise(resolve => { server.listen(0, resolve) })))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

const [front, ready, control, ...internal] = await freePorts(5)

/** Ports of every host; the addresses of the hosts differ. */
export const PORTS = { front, ready, control, internal }

/** Host processes of the deploy file, each with a loopback address of its own. */
export class Fleet {
  /**
   * @param options - Store address, bounds and limits of the settings, and the hosts.
   */
  constructor ({ store, bounds, limits, hosts, seeds }) {
    this.folder = mkdtempSync(join(tmpdir(), 'jaymill-review-'))
    this.hosts = hosts
    this.children = new Map()
    const { program, args, template } = readDeployFile(join(ROOT, 'deploy/system.toml'))
    this.command = [program === 'node' ? process.execPath : program, args]
    const text = readFileSync(join(ROOT, template), 'utf8')
    hosts.forEach(({ ip, zone }, i) => {
      const fields = {
        node: `front-${zone}-${i}`,
        role: 'router',
        machineClass: 'front',
        ip,
        zone,
        region: 'r',
        serves: ['front', 'control'],
        internalPorts: PORTS.internal,
        seeds: seeds.map(seed => `${seed}:${PORTS.control}`),
        bootstrap: true,
        listen: { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}`, control: `${ip}:${PORTS.control}` },
        limits,
        bounds,
        platform: { address: store }
      }
      writeFileSync(this.fileOf(ip), fillTemplate(text, fields))
    })
  }

  fileOf (ip) {
    return join(this.folder, `${ip}.jsonc`)
  }

  start (ip) {
    const log = openSync(join(this.folder, `${ip}.log`), 'a')
    const [program, args] = this.command
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, args, { cwd: ROOT, env: { PATH, HOME, LANG, JAYMILL_NODE_FILE: this.fileOf(ip) }, stdio: ['ignore', log, log] })
    child.once('exit', (code, signal) => { child.ended = { code, signal, atMs: Date.now() } })
    this.children.set(ip, child)
    return child
  }

  startAll () {
    this.hosts.forEach(({ ip }) => this.start(ip))
  }

  signal (ip, name) {
    this.children.get(ip)?.kill(name)
  }

  /** Waits until every running host answers its readiness check with 200. */
  async ready (timeoutMs = 20_000) {
    const endMs = Date.now() + timeoutMs
    const waiting = new Set(this.hosts.map(({ ip }) => ip))
    while (waiting.size > 0 && Date.now() < endMs) {
      await Promise.all([...waiting].map(async ip => {
        const { status } = await call(ip, { port: PORTS.ready, path: '/-/ready', timeoutMs: 500 })
        if (status === 200) waiting.delete(ip)
      }))
      await sleep(100)
    }
    return waiting.size === 0
  }

  logOf (ip) {
    return readFileSync(join(this.folder, `${ip}.log`), 'utf8')
  }

  /** Ends all processes that were started, and removes their folder. */
  async close () {
    const running = [...this.children.values()].filter(child => child.ended === undefined && child.pid !== undefined)
    await Promise.all(running.map(child => new Promise(resolve => { child.once('exit', resolve); child.kill('SIGCONT'); child.kill('SIGKILL') })))
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.error(this.folder)
  }
}

/**
 * Sends one request to a host on a new connection.
 *
 * @param ip - Address of the host.
 * @param options - Port, method, path, headers, body and time limit.
 * @returns Status, headers and body; status 0 with an error when no complete response came.
 */
export async function call (ip, { port = PORTS.front, method = 'GET', path, headers = {}, body, timeoutMs = 3_000, onData }) {
  return await new Promise(resolve => {
    const sentMs = Date.now()
    const failed = err => resolve({ status: 0, error: err.code ?? err.message, sentMs, answeredMs: Date.now() })
    const req = request({ host: ip, port, method, path, headers, agent: false, signal: AbortSignal.timeout(timeoutMs) }, res => {
      const parts = []
      res.on('data', part => { parts.push(part); onData?.(part) })
      res.on('error', failed)
      res.on('end', () => {
        if (res.complete) resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(parts).toString(), sentMs, answeredMs: Date.now() })
        else failed(new Error('broken'))
      })
    })
    req.on('error', failed)
    req.end(body)
  })
}

/** The platform's metadata store: items, range reads and watches, as PROTOCOL.md describes them. */
export class Store {
  constructor () {
    this.items = new Map()
    this.events = []
    this.revision = 10
    this.waiting = new Set()
    this.server = createServer((req, res) => this.serve(req, res))
    this.server.keepAliveTimeout = 60_000
  }

  async listen (ip) {
    await new Promise(resolve => { this.server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.server.address().port}`
  }

  put (key, value) {
    this.revision += 1
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, createRevision: this.items.get(key)?.createRevision ?? this.revision, lease: 0 }
    this.items.set(key, item)
    this.changed(item)
  }

  remove (key) {
    this.revision += 1
    this.items.delete(key)
    this.changed({ key, revision: this.revision, deleted: true })
  }

  changed (event) {
    this.events.push(event)
    ;[...this.waiting].forEach(answer => answer())
  }

  serve (req, res) {
    const { pathname, searchParams } = new URL(req.url, 'http://store')
    const prefix = searchParams.get('prefix') ?? ''
    const send = (status, body) => { res.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body)) }
    if (pathname === '/-/kv-range') {
      const after = searchParams.get('after') ?? ''
      const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
      const items = keys.slice(0, 500).map(key => this.items.get(key))
      send(200, { items, morePages: keys.length > 500, storeRevision: this.revision })
    } else if (pathname === '/-/kv-watch') {
      const after = Number(searchParams.get('after'))
      if (after > this.revision) {
        send(410, { error: 'gone' })
        return
      }
      const answer = (ended = false) => {
        const events = this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
        if (events.length === 0 && !ended) return
        this.waiting.delete(answer)
        clearTimeout(timer)
        if (!res.destroyed) send(200, { events, storeRevision: this.revision })
      }
      const timer = setTimeout(() => answer(true), Number(searchParams.get('waitMs')))
      this.waiting.add(answer)
      res.on('close', () => { this.waiting.delete(answer); clearTimeout(timer) })
      answer()
    } else {
      send(404, { error: 'unknown' })
    }
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** A runner of a plain service. It registers in the store, and records what it runs. */
export class Runner {
  constructor ({ id, service, zone, slots = 6, heartbeatMs = 1_200, handler }) {
    Object.assign(this, { id, service, zone, slots, heartbeatMs, handler, runs: [], sequence: 0, born: Date.now(), state: 'ready' })
    this.server = createServer((req, res) => this.serve(req, res))
    this.server.keepAliveTimeout = 5_000
  }

  async listen (ip, store) {
    await new Promise(resolve => { this.server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.server.address().port}`
    this.store = store
    this.register()
    this.timer = setInterval(() => this.register(), this.heartbeatMs)
  }

  register () {
    const { service, address, zone, slots, state, born, stage } = this
    this.sequence += 1
    this.store.put(`servers/${this.id}`, { service, address, zone, version: 1, slots, state, coldRemainingMs: 0, sequence: this.sequence, born, ...(stage === undefined ? {} : { stage }) })
  }

  serve (req, res) {
    const parts = []
    req.on('data', part => parts.push(part)).on('end', () => {
      const id = req.headers['x-request-id']
      const expected = req.headers['x-expect-instance']
      const echo = id === undefined ? {} : { 'X-Request-Id': id }
      const notRun = status => res.writeHead(status, { ...echo, 'X-Not-Run': '1' }).end()
      if (expected !== undefined && expected !== this.id) notRun(421)
      else if (req.url === '/health') res.writeHead(200, { 'X-Instance-Id': this.id, 'X-Server-Load': `0,0,${this.slots},100` }).end()
      else if (id === undefined) notRun(400)
      else this.run(req, res, id, Buffer.concat(parts))
    })
  }

  run (req, res, id, body) {
    const run = { id, method: req.method, path: req.url, atMs: Date.now(), from: req.socket.remoteAddress }
    this.runs.push(run)
    const head = { 'X-Request-Id': id, 'X-Server-Stamp': `${this.id}.${this.runs.length}`, 'X-Server-Load': `1,0,${this.slots},100` }
    if (this.handler !== undefined) this.handler({ req, res, id, body, head, run })
    else res.writeHead(200, head).end(`${this.service} ran ${id}`)
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }
}
