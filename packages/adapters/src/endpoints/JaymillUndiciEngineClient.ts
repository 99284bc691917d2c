import {
  CacheEventPage, EngineCall, EngineClient, ErrorKind, KvTransferParams, LoadReport, PrefillResult, RanState,
  RequestError, RequestOwnerTag, StreamPace, TokenEvent
} from '@jaymill/core'
import { Dispatcher } from 'undici'
import {
  CONTROL_TIMEOUT_MS, DEFAULT_FIRST_TOKEN_MS, DEFAULT_INTER_TOKEN_MS, MAX_JSON_BYTES, PROBE_TIMEOUT_MS
} from './constants.js'
import { EngineCanceller } from './JaymillEngineCanceller.js'
import { ConnectionLimits, EndpointPools } from './JaymillEndpointPools.js'
import {
  CacheAnswer, decodeBody, EngineHeader, LoadAnswer, PrefillAnswer, prefillBody, tagHeaders
} from './JaymillEngineProtocol.js'
import { Exchange } from './JaymillExchange.js'
import { checkStatus, readJson, readText } from './JaymillJsonExchange.js'
import { ProgressTimer } from './JaymillProgressTimer.js'
import { TokenStream } from './JaymillTokenStream.js'

/** Options of the engine client. */
export interface EngineClientOptions {
  /** Closes all connections. */
  readonly signal: AbortSignal
  readonly limits?: Partial<ConnectionLimits>
  /** Allowed silence for calls that state none. */
  readonly pace?: StreamPace
  /** Time for the answer to a probe, in milliseconds. */
  readonly probeTimeoutMs?: number
  /** Time for the answer to a control call, in milliseconds. */
  readonly controlTimeoutMs?: number
}

type RequestOptions = Dispatcher.RequestOptions
type BuildRequest = (signal: AbortSignal) => RequestOptions

/** How one connection of a stream is opened. */
interface StreamOpening {
  /** Last id, as the engine counts, that has arrived. */
  readonly lastId: number
  /** Silence allowed before the first token, in milliseconds. */
  readonly firstMs: number
  readonly build: BuildRequest
  /** Kind of failure that status 404 means. */
  readonly missing?: ErrorKind
}

/** Engine client over HTTP/1.1 (`undici`), as docs/design/engine-protocol.md describes. */
export class UndiciEngineClient extends EngineClient {
  private readonly _pools: EndpointPools
  private readonly _pace: StreamPace
  private readonly _probeMs: number
  private readonly _controlMs: number
  private readonly _canceller: EngineCanceller

  /**
   * @param opts - Owner signal, limits and timeouts.
   */
  constructor (opts: EngineClientOptions) {
    super()
    this._pools = new EndpointPools(opts.limits)
    this._pace = opts.pace ?? { firstTokenMs: DEFAULT_FIRST_TOKEN_MS, interTokenMs: DEFAULT_INTER_TOKEN_MS }
    this._probeMs = opts.probeTimeoutMs ?? PROBE_TIMEOUT_MS
    this._controlMs = opts.controlTimeoutMs ?? CONTROL_TIMEOUT_MS
    const send = (url: string, requestId: string, attempt: number) => this.cancel(url, requestId, opts.signal, attempt)
    this._canceller = new EngineCanceller(send, opts.signal)
    opts.signal.addEventListener('abort', () => { this._pools.destroy().catch(() => {}) }, { once: true })
  }

  /** {@inheritDoc EngineClient.prefill} */
  async prefill (call: EngineCall, signal: AbortSignal): Promise<PrefillResult> {
    const exchange = new Exchange()
    const stall = new AbortController()
    const both = AbortSignal.any([signal, stall.signal])
    const timer = new ProgressTimer(() => stall.abort(stalled(call)))
    const pool = this._pools.pool(call.url)
    try {
      timer.wait(this._paceOf(call).firstTokenMs)
      const res = await exchange.request(pool, post(call, prefillBody(call), both))
      await checkStatus(res, call.endpointId)
      const answer = await readJson(res.body, PrefillAnswer, MAX_JSON_BYTES)
      return { kv: answer.kv_transfer_params, promptTokens: answer.usage.prompt_tokens }
    } catch (err) {
      const failure = exchange.toError(err, both, call.endpointId)
      if (failure.ran !== RanState.No) this.abandon(call.url, call.tag)
      if (failure.kind === ErrorKind.Stalled) this._pools.retire(call.url, pool)
      throw failure
    } finally {
      timer.stop()
    }
  }

  /** {@inheritDoc EngineClient.decode} */
  decode (call: EngineCall, kv: KvTransferParams | null, signal: AbortSignal): AsyncIterable<TokenEvent> {
    const build: BuildRequest = both => post(call, decodeBody(call, kv), both)
    return this._stream(call, { lastId: 0, firstMs: this._paceOf(call).firstTokenMs, build }, signal)
  }

  /** {@inheritDoc EngineClient.resume} */
  resume (call: EngineCall, lastId: number, signal: AbortSignal): AsyncIterable<TokenEvent> {
    const lastEventId = lastId - call.generatedTokens
    const headers = { ...tagHeaders(call.tag), [EngineHeader.LastEventId]: String(lastEventId) }
    const path = `/v1/requests/${encodeURIComponent(call.tag.requestId)}/stream`
    const build: BuildRequest = both => ({ method: 'GET', path, headers, signal: both, headersTimeout: 0, bodyTimeout: 0 })
    const firstMs = this._paceOf(call).interTokenMs
    return this._stream(call, { lastId: lastEventId, firstMs, build, missing: ErrorKind.NotFound }, signal)
  }

  /** {@inheritDoc EngineClient.probe} */
  async probe (url: string, signal: AbortSignal): Promise<boolean> {
    try {
      await this._fresh(url, { method: 'GET', path: '/health' }, this._probeMs, signal)
      return true
    } catch {
      return false
    }
  }

  /** {@inheritDoc EngineClient.cancel} */
  async cancel (url: string, requestId: string, signal: AbortSignal, upToAttempt?: number): Promise<void> {
    const headers = upToAttempt === undefined ? {} : { [EngineHeader.Attempt]: String(upToAttempt) }
    const path = `/v1/requests/${encodeURIComponent(requestId)}`
    await this._fresh(url, { method: 'DELETE', path, headers }, this._controlMs, signal, [404])
  }

  /** {@inheritDoc EngineClient.abandon} */
  abandon (url: string, tag: RequestOwnerTag): void {
    this._canceller.cancel(url, tag)
  }

  /** {@inheritDoc EngineClient.load} */
  load (url: string, signal: AbortSignal): Promise<LoadReport> {
    return this._get(url, '/load', LoadAnswer, signal)
  }

  /** {@inheritDoc EngineClient.cacheEvents} */
  cacheEvents (url: string, since: number, signal: AbortSignal): Promise<CacheEventPage> {
    return this._get(url, `/cache_events?since=${since}`, CacheAnswer, signal)
  }

  /**
   * Drops connections to endpoints that are no longer configured.
   *
   * @param urls - Base URLs in use.
   */
  keepOnly (urls: readonly string[]): void {
    this._pools.keepOnly(urls)
  }

  /** Waits for the cancels that are on their way. */
  settled (): Promise<void> {
    return this._canceller.settled()
  }

  private async * _stream (call: EngineCall, opening: StreamOpening, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    const exchange = new Exchange()
    const ctl = new AbortController()
    const both = AbortSignal.any([signal, ctl.signal])
    const timer = new ProgressTimer(() => ctl.abort(stalled(call)))
    const pool = this._pools.pool(call.url)
    let settled = false
    try {
      timer.wait(opening.firstMs)
      const res = await exchange.request(pool, opening.build(both))
      await checkStatus(res, call.endpointId, opening.missing)
      for await (const token of this._tokens(res, call, opening.lastId, timer)) {
        settled ||= token.finishReason !== null
        yield token
      }
      settled = true
    } catch (err) {
      if (settled) return
      const failure = exchange.toError(err, both, call.endpointId)
      const broken = failure.ran !== RanState.No && !signal.aborted
      settled = broken || failure.ran === RanState.No
      if (broken) this._pools.retire(call.url, pool)
      throw failure
    } finally {
      timer.stop()
      if (!settled) this.abandon(call.url, call.tag)
      ctl.abort()
    }
  }

  private async * _tokens (
    res: Dispatcher.ResponseData, call: EngineCall, lastId: number, timer: ProgressTimer
  ): AsyncGenerator<TokenEvent> {
    const { interTokenMs } = this._paceOf(call)
    const stream = new TokenStream(call.generatedTokens, lastId)
    let finished = false
    for await (const chunk of res.body) {
      const tokens = stream.push(chunk)
      if (tokens.length > 0) timer.pause()
      yield * tokens
      finished ||= tokens.some(token => token.finishReason !== null)
      if (tokens.length > 0) timer.wait(interTokenMs)
    }
    if (!finished && !stream.done) throw new RequestError(ErrorKind.EndpointFailed, 'the stream ended early', { ran: RanState.Unknown })
  }

  private async _get<T> (url: string, path: string, schema: Parameters<typeof readJson<T>>[1], signal: AbortSignal): Promise<T> {
    const exchange = new Exchange()
    const both = AbortSignal.any([signal, AbortSignal.timeout(this._controlMs)])
    const pool = this._pools.pool(url)
    try {
      const res = await exchange.request(pool, { method: 'GET', path, signal: both })
      await checkStatus(res, url)
      return await readJson(res.body, schema, MAX_JSON_BYTES)
    } catch (err) {
      if (!signal.aborted) this._pools.retire(url, pool)
      throw exchange.toError(err, both, url)
    }
  }

  private async _fresh (url: string, opts: RequestOptions, ms: number, signal: AbortSignal, allowed: readonly number[] = []): Promise<void> {
    const client = this._pools.fresh(url)
    const exchange = new Exchange()
    const both = AbortSignal.any([signal, AbortSignal.timeout(ms)])
    try {
      const res = await exchange.request(client, { ...opts, signal: both })
      if (!allowed.includes(res.statusCode)) await checkStatus(res, url)
      await readText(res.body, MAX_JSON_BYTES)
    } catch (err) {
      throw exchange.toError(err, both, url)
    } finally {
      client.destroy().catch(() => {})
    }
  }

  private _paceOf (call: EngineCall): StreamPace {
    return call.pace ?? this._pace
  }
}

function post (call: EngineCall, body: string, signal: AbortSignal): RequestOptions {
  const headers = { ...tagHeaders(call.tag), 'content-type': 'application/json' }
  return { method: 'POST', path: '/v1/completions', headers, body, signal, headersTimeout: 0, bodyTimeout: 0 }
}

function stalled (call: EngineCall): RequestError {
  return new RequestError(ErrorKind.Stalled, `${call.endpointId} made no progress`, { ran: RanState.Unknown })
}
