import { createServer } from 'node:http'

/** A model runner: grants reservations, reads prompts as a prefill runner, and answers with events as a decode runner. */
export class Engine {
  constructor ({ id, service, zone, stage, answer = sendEvents }) {
    Object.assign(this, { id, service, zone, stage, answer, sequence: 0, born: Date.now(), calls: 0, runs: 0 })
    this.server = createServer((req, res) => this.serve(req, res))
    this.server.keepAliveTimeout = 5_000
  }

  async listen (ip, store) {
    await new Promise(resolve => { this.server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.server.address().port}`
    this.store = store
    this.register()
    this.timer = setInterval(() => this.register(), 1_200)
  }

  register () {
    const { service, address, zone, stage, born } = this
    this.sequence += 1
    this.store.put(`servers/${this.id}`, { service, address, zone, version: 1, slots: 64, state: 'ready', coldRemainingMs: 0, sequence: this.sequence, born, stage })
  }

  serve (req, res) {
    const parts = []
    req.on('data', part => parts.push(part)).on('end', () => {
      const id = req.headers['x-request-id']
      const echo = id === undefined ? {} : { 'X-Request-Id': id }
      const json = body => { res.writeHead(200, { ...echo, 'Content-Type': 'application/json' }).end(JSON.stringify(body)) }
      const isPrefill = req.headers['x-stage'] === 'prefill'
      if ((req.headers['x-expect-instance'] ?? this.id) !== this.id) res.writeHead(421, { ...echo, 'X-Not-Run': '1' }).end()
      else if (req.url === '/health') res.writeHead(200, { 'X-Instance-Id': this.id, 'X-Server-Load': '0,0,64,100' }).end()
      else if (req.url === '/-/hold-take') json({ hold: `h${this.id}${this.next()}` })
      else if (req.url === '/-/order') this.changeStage(JSON.parse(Buffer.concat(parts).toString()), res)
      else if (req.method === 'DELETE') json({})
      else if (id === undefined) res.writeHead(400, { 'X-Not-Run': '1' }).end()
      else if (isPrefill !== (this.stage === 'prefill')) res.writeHead(421, { ...echo, 'X-Not-Run': '1' }).end()
      else if (isPrefill) setTimeout(() => json({ handle: `k${this.id}${this.next()}`, tokens: 5_200, version: 1 }), 95)
      else this.answer(req, res, { ...echo, 'X-Server-Stamp': `${this.id}.${this.nextRun()}`, 'X-Server-Load': '1,0,64,100', 'X-Weight-Versions': '1' })
    })
  }

  next () {
    this.calls += 1
    return this.calls
  }

  nextRun () {
    this.runs += 1
    return this.runs
  }

  changeStage ({ stage }, res) {
    res.writeHead(202).end()
    setTimeout(() => { this.stage = stage }, 6_000)
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** Sends 12 events of six tokens each. */
function sendEvents (req, res, head) {
  const last = Number(req.headers['last-event-id'] ?? 0)
  let id = last
  res.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
  const timer = setInterval(() => {
    id += 1
    res.write(`id: ${id}\ndata: ${'token '.repeat(6)}\n\n`)
    if (id < 12) return
    clearInterval(timer)
    res.end()
  }, 60)
  res.on('close', () => clearInterval(timer))
}

/**
 * Sends a head that does not end: short fields at first, then one from time to time until the caller closes.
 *
 * @param fields - Number of fields that are sent at once.
 * @returns Writes such an answer.
 */
export function endlessHead (fields) {
  return (req, res, head) => {
    const { socket } = req
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.on('error', () => {})
    socket.write(`HTTP/1.1 200 OK\r\n${lines}${'a:\r\n'.repeat(fields)}`)
    const timer = setInterval(() => { socket.write('a:\r\n') }, 100)
    socket.once('close', () => clearInterval(timer))
  }
}
