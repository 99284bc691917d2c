import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { nextToken } from './JaymillDeterministicText.js'
import { FakeServer, readJson, sendJson } from './JaymillFakeServer.js'

const CHARS_PER_TOKEN = 4
const MAX_FINISHED = 256

/** Capacities and latencies of a fake engine. */
export interface FakeEngineOptions {
  readonly slots: number
  readonly pieces: number
  readonly tokensPerPiece: number
  readonly prefillMsPerToken: number
  readonly interTokenMs: number
  /** Lifetime of a prefill result, in milliseconds. */
  readonly kvTtlMs: number
}

const DEFAULTS: FakeEngineOptions = {
  slots: 20, pieces: 2_000, tokensPerPiece: 16, prefillMsPerToken: 0.02, interTokenMs: 4, kvTtlMs: 800
}

interface Generation {
  readonly requestId: string
  readonly attempt: number
  readonly hostId: string
  readonly incarnation: number
  readonly pieces: number
  readonly startedMs: number
  readonly tokens: string[]
  readonly cancel: AbortController
  maxTokens: number
  done: boolean
  waiters: Array<() => void>
}

/**
 * Fake engine of a prefill or decode pool. A decode continues after its connection has closed, so its memory is freed only
 * by a cancel or at the end of the response: this is the strictest interpretation of the protocol.
 */
export class FakeEngineServer extends FakeServer {
  private readonly _opts: FakeEngineOptions
  private readonly _running = new Map<string, Generation>()
  private readonly _finished = new Map<string, Generation>()
  private readonly _prefillResults = new Map<string, { pieces: number, requestId: string, attempt: number, timer: NodeJS.Timeout }>()
  private _cancelled = 0
  private _latencyFactor = 1
  private _remainingRefusals = 0
  private _transfersStalled = false
  private _crashText: string | undefined
  private _order: Record<string, unknown> = { fencingToken: 0 }

  /**
   * @param opts - Options that differ from the defaults.
   */
  constructor (opts: Partial<FakeEngineOptions> = {}) {
    super()
    this._opts = { ...DEFAULTS, ...opts }
  }

  /** Number of requests that hold engine memory. */
  get running (): number {
    return this._running.size
  }

  /** Pieces held by running requests and prefill results. */
  get heldPieces (): number {
    const sum = (items: Iterable<{ pieces: number }>): number => [...items].reduce((total, { pieces }) => total + pieces, 0)
    return sum(this._running.values()) + sum(this._prefillResults.values())
  }

  /** Number of tokens generated so far for all responses. */
  get tokensOut (): number {
    return [...this._running.values(), ...this._finished.values()].reduce((total, { tokens }) => total + tokens.length, 0)
  }

  /**
   * Refuses the next calls as a full engine does, regardless of the load report.
   *
   * @param calls - Number of calls.
   */
  refuse (calls: number): void {
    this._remainingRefusals = calls
  }

  /**
   * Slows the engine down.
   *
   * @param factor - Factor for every latency.
   */
  slow (factor: number): void {
    this._latencyFactor = factor
  }

  /**
   * Makes transfers of prefill results out of this engine hang.
   *
   * @param stalled - Whether they hang.
   */
  stallTransfers (stalled: boolean): void {
    this._transfersStalled = stalled
  }

  /**
   * Makes the engine crash whenever it receives a prompt that contains a text.
   *
   * @param text - Text that triggers the crash.
   */
  crashOn (text: string): void {
    this._crashText = text
  }

  /** {@inheritDoc FakeServer.kill} */
  override kill (): void {
    this._running.forEach(({ cancel }) => cancel.abort())
    this._running.clear()
    this._prefillResults.forEach(({ timer }) => clearTimeout(timer))
    this._prefillResults.clear()
    super.kill()
  }

  /** {@inheritDoc FakeServer.handle} */
  protected async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', this.url)
    const [, id] = /^\/v1\/requests\/([^/]+)/.exec(url.pathname) ?? []
    if (url.pathname === '/v1/completions') return await this._complete(req, res)
    if (id !== undefined && req.method === 'DELETE') return this._cancel(decodeURIComponent(id), req, res)
    if (id !== undefined) return await this._resume(decodeURIComponent(id), req, res)
    if (url.pathname.startsWith('/kv/')) return this._transferKv(url.pathname.slice('/kv/'.length), res)
    if (url.pathname === '/orders') return await this._orders(req, res)
    if (url.pathname === '/load') return sendJson(res, 200, this._load())
    if (url.pathname === '/state') return sendJson(res, 200, this._state())
    if (url.pathname === '/cache_events') return sendJson(res, 200, { events: [], next: 0 })
    sendJson(res, url.pathname === '/health' ? 200 : 404, {})
  }

  private _state (): object {
    return { running: this.running, heldPieces: this.heldPieces, received: this.received, cancelled: this._cancelled }
  }

  private _load (): object {
    const now = performance.now()
    const running = [...this._running.values()].map(({ requestId, attempt, hostId, incarnation, pieces, startedMs }) => (
      { requestId, attempt, hostId, incarnation, pieces, ageMs: now - startedMs }
    ))
    return { running, heldPieces: this.heldPieces, ageMs: 0 }
  }

  private async _complete (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readJson(req)
    this.recordCall(req)
    const prompt = String(body.prompt)
    if (this._crashText !== undefined && prompt.includes(this._crashText)) return this.kill()
    if (this._remainingRefusals-- > 0 || this._running.size >= this._opts.slots) return sendJson(res, 429, { error: 'full' })
    const kv = body.kv_transfer_params as Record<string, unknown> | undefined
    if (kv?.do_remote_decode === true) return await this._prefill(req, res, prompt)
    if (kv?.do_remote_prefill === true && !await this._fetchKv(kv)) return sendJson(res, 410, { error: 'prefill result has expired' })
    const generation = this._startGeneration(req, prompt, Number(body.max_tokens))
    if (kv?.do_remote_prefill !== true) await sleep(this._prefillMs(prompt))
    this._generate(generation, prompt).catch(() => this.kill())
    await this._stream(generation, 0, res)
  }

  private _startGeneration (req: IncomingMessage, prompt: string, maxTokens: number): Generation {
    const generation: Generation = {
      requestId: String(req.headers['x-request-id']),
      attempt: Number(req.headers['x-jaymill-attempt'] ?? 1),
      hostId: String(req.headers['x-jaymill-host'] ?? ''),
      incarnation: Number(req.headers['x-jaymill-incarnation'] ?? 0),
      pieces: Math.ceil((prompt.length / CHARS_PER_TOKEN + maxTokens) / this._opts.tokensPerPiece),
      startedMs: performance.now(),
      tokens: [],
      cancel: new AbortController(),
      maxTokens,
      done: false,
      waiters: []
    }
    this._running.get(generation.requestId)?.cancel.abort()
    this._running.set(generation.requestId, generation)
    return generation
  }

  private _prefillMs (prompt: string): number {
    return prompt.length / CHARS_PER_TOKEN * this._opts.prefillMsPerToken * this._latencyFactor
  }

  private async _prefill (req: IncomingMessage, res: ServerResponse, prompt: string): Promise<void> {
    const generation = this._startGeneration(req, prompt, 1)
    await sleep(this._prefillMs(prompt), undefined, { signal: generation.cancel.signal }).catch(() => undefined)
    this._running.delete(generation.requestId)
    if (generation.cancel.signal.aborted) return sendJson(res, 499, { error: 'cancelled' })
    const block = `${generation.requestId}.${generation.attempt}`
    const timer = setTimeout(() => this._prefillResults.delete(block), this._opts.kvTtlMs)
    this._prefillResults.set(block, { pieces: generation.pieces, requestId: generation.requestId, attempt: generation.attempt, timer })
    const { hostname, port } = new URL(this.url)
    sendJson(res, 200, {
      choices: [{ text: nextToken(prompt), finish_reason: 'length' }],
      usage: { prompt_tokens: Math.ceil(prompt.length / CHARS_PER_TOKEN) },
      kv_transfer_params: {
        do_remote_prefill: true,
        remote_engine_id: port,
        remote_block_ids: [block],
        remote_host: hostname,
        remote_port: Number(port)
      }
    })
  }

  private async _fetchKv (kv: Record<string, unknown>): Promise<boolean> {
    const [block] = kv.remote_block_ids as string[]
    const url = `http://${String(kv.remote_host)}:${String(kv.remote_port)}/kv/${String(block)}`
    return await fetch(url, { method: 'POST' }).then(res => res.ok, () => false)
  }

  private _transferKv (block: string, res: ServerResponse): void {
    if (this._transfersStalled) return
    const prefillResult = this._prefillResults.get(decodeURIComponent(block))
    clearTimeout(prefillResult?.timer)
    this._prefillResults.delete(decodeURIComponent(block))
    sendJson(res, prefillResult === undefined ? 404 : 200, {})
  }

  private async _generate (generation: Generation, prompt: string): Promise<void> {
    let text = prompt
    while (generation.tokens.length < generation.maxTokens && !generation.cancel.signal.aborted) {
      await sleep(this._opts.interTokenMs * this._latencyFactor)
      const token = nextToken(text)
      text += token
      generation.tokens.push(token)
      this._notify(generation)
    }
    generation.done = true
    if (this._running.get(generation.requestId) === generation) this._running.delete(generation.requestId)
    if (!generation.cancel.signal.aborted) this._retainFinished(generation)
    this._notify(generation)
  }

  private _retainFinished (generation: Generation): void {
    this._finished.set(generation.requestId, generation)
    const [oldest] = this._finished.keys()
    if (this._finished.size > MAX_FINISHED && oldest !== undefined) this._finished.delete(oldest)
  }

  private _notify (generation: Generation): void {
    generation.waiters.splice(0).forEach(resolve => resolve())
  }

  private async _stream (generation: Generation, after: number, res: ServerResponse): Promise<void> {
    res.writeHead(200, { 'Content-Type': 'text/event-stream' })
    res.flushHeaders()
    res.once('close', () => this._notify(generation))
    let sent = after
    while (!res.destroyed) {
      if (sent < generation.tokens.length && !this.isMuted(res)) {
        const last = sent + 1 === generation.maxTokens
        const choice = { index: 0, text: generation.tokens[sent], finish_reason: last ? 'length' : null }
        res.write(`id: ${++sent}\ndata: ${JSON.stringify({ choices: [choice] })}\n\n`)
      } else if (generation.done && !this.isMuted(res)) {
        break
      } else {
        await new Promise<void>(resolve => generation.waiters.push(resolve))
      }
    }
    if (generation.cancel.signal.aborted) res.destroy()
    else res.end('data: [DONE]\n\n')
  }

  private async _resume (requestId: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const generation = this._running.get(requestId) ?? this._finished.get(requestId)
    if (generation === undefined) return sendJson(res, 404, {})
    await this._stream(generation, Number(req.headers['last-event-id'] ?? 0), res)
  }

  private _cancel (requestId: string, req: IncomingMessage, res: ServerResponse): void {
    const maxAttempt = Number(req.headers['x-jaymill-attempt'] ?? Infinity)
    const generation = [this._running.get(requestId)].find(found => found !== undefined && found.attempt <= maxAttempt)
    const prefillResults = [...this._prefillResults].filter(([, entry]) => entry.requestId === requestId && entry.attempt <= maxAttempt)
    prefillResults.forEach(([block, { timer }]) => {
      clearTimeout(timer)
      this._prefillResults.delete(block)
    })
    generation?.cancel.abort()
    if (generation !== undefined) this._notify(generation)
    if (generation !== undefined) this._running.delete(requestId)
    if (generation !== undefined || prefillResults.length > 0) this._cancelled++
    sendJson(res, 200, {})
  }

  private async _orders (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.method === 'GET') return sendJson(res, 200, this._order)
    const order = await readJson(req)
    if (Number(order.fencingToken) < Number(this._order.fencingToken)) return sendJson(res, 409, { error: 'stale fencing token' })
    this._order = { ...this._order, ...order }
    sendJson(res, 200, this._order)
  }
}
