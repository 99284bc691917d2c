import { randomBytes } from 'node:crypto'
import { once } from 'node:events'
import { createServer } from 'node:http'

const hex = () => randomBytes(6).toString('hex')

/** Stand-in for a runner (PROTOCOL.md): checks the instance, runs requests, signs its answers. */
export class Runner {
  constructor (site, { id = `i-${hex()}`, service, zone = 'zone-a', slots = 64, stage, host }) {
    Object.assign(this, { site, id, service, zone, slots, stage, host })
    this.bornMs = Date.now()
    this.sequence = 1
    this.runs = []
    this.holds = new Map()
    this.handles = new Map()
    this.running = 0
    this.sockets = new Set()
    this.server = createServer((req, res) => { this.serve(req, res).catch(() => res.destroy()) })
    this.server.keepAliveTimeout = 5000
    this.server.on('connection', socket => { this.sockets.add(socket); socket.once('close', () => this.sockets.delete(socket)) })
  }

  async start (port = 0) {
    this.server.listen(port, this.host)
    await once(this.server, 'listening')
    this.port = this.server.address().port
    this.address = `${this.host}:${this.port}`
  }

  entry () {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 1,
      slots: this.slots,
      state: this.state ?? 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.bornMs,
      ...(this.stage === undefined ? {} : { stage: this.stage, models: [{ name: 'm', version: 1, adapters: [] }] })
    }
  }

  /** Headers of every answer to a request. */
  signed (req) {
    return { 'X-Request-Id': req.headers['x-request-id'], 'X-Server-Stamp': `stamp.${this.id}`, 'X-Server-Load': `${this.running},0,${this.slots}` }
  }

  async serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const expected = req.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return this.short(res, 421, { 'X-Not-Run': '1' })
    if (req.url === '/health') return this.short(res, 200, { 'X-Instance-Id': this.id, 'X-Server-Load': `${this.running},0,${this.slots}` })
    if (req.url.startsWith('/-/')) return this.control(req, res, body)
    if (req.headers['x-stage'] === 'prefill') return this.prefill(req, res)
    if (req.headers['x-request-id'] === undefined) return this.short(res, 400, { 'X-Not-Run': '1' })
    const run = { id: req.headers['x-request-id'], atMs: Date.now(), runner: this.id, url: req.url, method: req.method, body: body.toString('latin1'), headers: req.headers }
    this.runs.push(run)
    this.running += 1
    res.once('close', () => { this.running -= 1; run.endedMs = Date.now() })
    this.site.note(`runner ${this.id} runs ${run.id}`)
    await this.run(req, res, body, run)
  }

  short (res, status, headers) {
    res.writeHead(status, { ...headers, 'Content-Length': 0 }).end()
  }

  json (res, status, value, headers = {}) {
    const bytes = Buffer.from(JSON.stringify(value))
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length, ...headers }).end(bytes)
  }

  control (req, res, body) {
    if (req.url === '/-/hold-take') {
      const hold = hex()
      this.holds.set(hold, Date.now())
      return this.json(res, 200, { hold })
    }
    if (req.url === '/-/report') return this.json(res, 200, { stage: this.stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: 0, waiting: 0, running: this.running, kvUsed: 0, kvTotal: 64655, handles: this.handles.size })
    if (req.method === 'DELETE') return this.json(res, 200, {})
    if (req.url === '/-/order') return this.order(req, res, JSON.parse(body.toString()))
    this.json(res, 404, {})
  }

  order (_req, res) {
    this.json(res, 202, {})
  }

  prefill (req, res) {
    const handle = hex()
    this.handles.set(handle, req.headers['x-request-id'])
    setTimeout(() => this.json(res, 200, { handle, tokens: Number(req.headers['x-token-count']?.split(',')[0] ?? 0), version: 1 }, this.signed(req)), this.prefillMs ?? 20)
  }

  /** Runs a request; cases replace it. */
  async run (req, res) {
    const body = Buffer.from(`answer to ${req.headers['x-request-id']}`)
    res.writeHead(200, { ...this.signed(req), 'Content-Length': body.length }).end(body)
  }

  close () {
    this.server.close()
    this.sockets.forEach(socket => socket.destroy())
  }
}

/** Text of an event with an id. */
export function eventText (id, text = `token-${id}`) {
  return `id: ${id}\ndata: ${text}\n\n`
}
