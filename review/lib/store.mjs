import { once } from 'node:events'
import { createServer } from 'node:http'

/** Stand-in for the platform's store: items, ranges and watches, all read calls of PROTOCOL.md that a host makes. */
export class Store {
  constructor () {
    this.revision = 10
    this.items = new Map()
    this.events = []
    this.waiting = new Set()
    this.server = createServer((req, res) => this.serve(req, res))
    this.server.keepAliveTimeout = 60_000
  }

  async start (host) {
    this.server.listen(0, host)
    await once(this.server, 'listening')
    this.address = `${host}:${this.server.address().port}`
  }

  put (key, value) {
    this.revision += 1
    const before = this.items.get(key)
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.revision, createRevision: before?.createRevision ?? this.revision, lease: 0 }
    this.items.set(key, item)
    this.publish(item)
  }

  remove (key) {
    this.revision += 1
    this.items.delete(key)
    this.publish({ key, revision: this.revision, deleted: true })
  }

  publish (event) {
    this.events.push(event)
    const waiting = [...this.waiting]
    this.waiting.clear()
    waiting.forEach(answer => answer())
  }

  serve (req, res) {
    const url = new URL(req.url, 'http://store')
    const send = (status, body) => {
      if (res.writableEnded || res.destroyed) return
      const bytes = Buffer.from(JSON.stringify(body))
      res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
      res.end(bytes)
    }
    if (url.pathname === '/-/kv-range') return this.range(url.searchParams, send)
    if (url.pathname === '/-/kv-watch') return this.watch(url.searchParams, send)
    send(404, {})
  }

  range (query, send) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    send(200, { items: found.slice(0, 500), morePages: found.length > 500, storeRevision: this.revision })
  }

  watch (query, send) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after') ?? 0)
    const found = () => this.events.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
    if (after > this.revision) return send(410, {})
    const answer = () => {
      clearTimeout(timer)
      this.waiting.delete(check)
      send(200, { events: found(), storeRevision: this.revision })
    }
    const check = () => { if (found().length > 0) answer(); else this.waiting.add(check) }
    const timer = setTimeout(answer, Math.min(30_000, Number(query.get('waitMs') ?? 0)))
    check()
  }

  close () {
    this.waiting.forEach(answer => answer())
    this.server.close()
    this.server.closeAllConnections()
  }
}
