import type { IncomingMessage, ServerResponse } from 'node:http'
import { FakeServer, sendJson } from './JaymillFakeServer.js'

const DEFAULT_WAIT_MS = 30_000

interface Entry {
  index: number
  value: string
}

/** Fake configuration source with blocking queries, as in Consul's KV API. */
export class FakeConfigServer extends FakeServer {
  private readonly _entries = new Map<string, Entry>()
  private readonly _waiters = new Set<() => void>()
  private _index = 0
  private _reads = 0
  private _down = false

  /** Number of reads received so far; a blocking query counts as one. */
  get reads (): number {
    return this._reads
  }

  /**
   * Publishes a document, as an operator would.
   *
   * @param key - Name of the document.
   * @param value - Document; it is published as JSON.
   */
  publish (key: string, value: unknown): void {
    this._entries.set(key, { index: ++this._index, value: JSON.stringify(value) })
    this._notify()
  }

  /**
   * Makes reads fail or succeed.
   *
   * @param down - Whether every read fails.
   */
  setDown (down: boolean): void {
    this._down = down
    this._notify()
  }

  /** {@inheritDoc FakeServer.handle} */
  protected async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', this.url)
    const key = url.pathname.replace(/^\/v1\/kv\//, '')
    this._reads++
    await this._awaitChange(key, Number(url.searchParams.get('index') ?? 0), waitMsOf(url), res)
    if (this._down) return sendJson(res, 500, {})
    const entry = this._entries.get(key)
    res.setHeader('X-Consul-Index', String(entry?.index ?? Math.max(1, this._index)))
    if (entry === undefined) return sendJson(res, 404, [])
    sendJson(res, 200, [{ Key: key, ModifyIndex: entry.index, Value: Buffer.from(entry.value).toString('base64') }])
  }

  private async _awaitChange (key: string, index: number, waitMs: number, res: ServerResponse): Promise<void> {
    const current = (): number => this._entries.get(key)?.index ?? Math.max(1, this._index)
    if (index === 0) return
    const deadline = performance.now() + waitMs
    while (!this._down && current() <= index && performance.now() < deadline && !res.destroyed) {
      await new Promise<void>(resolve => {
        const done = (): void => {
          clearTimeout(timer)
          this._waiters.delete(done)
          resolve()
        }
        const timer = setTimeout(done, deadline - performance.now())
        this._waiters.add(done)
        res.once('close', done)
      })
    }
  }

  private _notify (): void {
    [...this._waiters].forEach(done => done())
  }
}

function waitMsOf (url: URL): number {
  const [, amount, unit] = /^(\d+)(ms|s|m)$/.exec(url.searchParams.get('wait') ?? '') ?? []
  const factor = unit === 'ms' ? 1 : unit === 'm' ? 60_000 : 1_000
  return amount === undefined ? DEFAULT_WAIT_MS : Number(amount) * factor
}
