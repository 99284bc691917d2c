import {
  CacheEventPage, EngineCall, EngineClient, ErrorKind, KvTransferParams, LoadReport, PrefillResult, RanState,
  RequestError, RequestOwnerTag, StreamTimeouts, TokenEvent
} from '@jaymill/core'
import { Dispatcher } from 'undici'
import {
  CONTROL_TIMEOUT_MS, DEFAULT_FIRST_TOKEN_TIMEOUT_MS, DEFAULT_INTER_TOKEN_TIMEOUT_MS, MAX_JSON_BYTES, PROBE_TIMEOUT_MS
} from './constants.js'
import { EngineCanceller } from './JaymillEngineCanceller.js'
import { ConnectionLimits, EndpointPools } from './JaymillEndpointPools.js'
import {
  cacheEventPageSchema, decodeBody, EngineHeader, loadReportSchema, prefillBody, prefillResponseSchema, tagHeaders
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
  /** Timeouts without progress for calls that set none. */
  readonly timeouts?: StreamTimeouts
  /** Timeout of a probe, in milliseconds. */
  readonly probeTimeoutMs?: number
  /** Timeout of a control call, in milliseconds. */
  readonly controlTimeoutMs?: number
}

type RequestOptions = Dispatcher.RequestOptions
type BuildRequest = (signal: AbortSignal) => RequestOptions

/** Request that opens a stream on one connection. */
interface StreamRequest {
  /** Last id that has arrived, in the numbering of the engine. */
  readonly lastId: number
  /** Timeout for the first token, in milliseconds. */
  readonly firstTimeoutMs: number
  readonly build: BuildRequest
  /** Kind of failure for status 404. */
  readonly notFoundKind?: ErrorKind
}

/** Engine client over HTTP/1.1 (`undici`); docs/design/engine-protocol.md describes the protocol. */
export class UndiciEngineClient extends EngineClient {
  private readonly _pools: EndpointPools
  private readonly _timeouts: StreamTimeouts
  private readonly _probeTimeoutMs: number
  private readonly _controlTimeoutMs: number
  private readonly _canceller: EngineCanceller

  /**
   * @param opts - Closing signal, limits and timeouts.
   */
  constructor (opts: EngineClientOptions) {
    super()
    this._pools = new EndpointPools(opts.limits)
    this._timeouts = opts.timeouts ?? { firstTokenMs: DEFAULT_FIRST_TOKEN_TIMEOUT_MS, interTokenMs: DEFAULT_INTER_TOKEN_TIMEOUT_MS }
    this._probeTimeoutMs = opts.probeTimeoutMs ?? PROBE_TIMEOUT_MS
    this._controlTimeoutMs = opts.controlTimeoutMs ?? CONTROL_TIMEOUT_MS
    const send = (url: string, requestId: string, attempt: number) => this.cancel(url, requestId, opts.signal, attempt)
    this._canceller = new EngineCanceller(send, opts.signal)
    opts.signal.addEventListener('abort', () => { this._pools.destroy().catch(() => {}) }, { once: true })
  }

  /** {@inheritDoc @jaymill/core#EngineClient.prefill} */
  async prefill (call: EngineCall, signal: AbortSignal): Promise<PrefillResult> {
    const exchange = new Exchange()
    const controller = new AbortController()
    const combined = AbortSignal.any([signal, controller.signal])
    const timer = new ProgressTimer(() => controller.abort(stallError(call)))
    const pool = this._pools.pool(call.url)
    try {
      timer.wait(this._timeoutsOf(call).firstTokenMs)
      const res = await exchange.request(pool, completionRequest(call, prefillBody(call), combined))
      await checkStatus(res, call.endpointId)
      const result = await readJson(res.body, prefillResponseSchema, MAX_JSON_BYTES)
      return { kv: result.kv_transfer_params, promptTokens: result.usage.prompt_tokens }
    } catch (err) {
      const failure = exchange.toError(err, combined, call.endpointId)
      if (failure.ran !== RanState.No) this.cancelInBackground(call.url, call.tag)
      if (failure.kind === ErrorKind.Stalled) this._pools.retire(call.url, pool)
      throw failure
    } finally {
      timer.stop()
    }
  }

  /** {@inheritDoc @jaymill/core#EngineClient.decode} */
  decode (call: EngineCall, kv: KvTransferParams | null, signal: AbortSignal): AsyncIterable<TokenEvent> {
    const build: BuildRequest = combined => completionRequest(call, decodeBody(call, kv), combined)
    return this._stream(call, { lastId: 0, firstTimeoutMs: this._timeoutsOf(call).firstTokenMs, build }, signal)
  }

  /** {@inheritDoc @jaymill/core#EngineClient.resume} */
  resume (call: EngineCall, lastId: number, signal: AbortSignal): AsyncIterable<TokenEvent> {
    const lastEventId = lastId - call.generatedTokens
    const headers = { ...tagHeaders(call.tag), [EngineHeader.LastEventId]: String(lastEventId) }
    const path = `/v1/requests/${encodeURIComponent(call.tag.requestId)}/stream`
    const build: BuildRequest = combined => ({
      method: 'GET', path, headers, signal: combined, headersTimeout: 0, bodyTimeout: 0
    })
    const firstTimeoutMs = this._timeoutsOf(call).interTokenMs
    return this._stream(call, { lastId: lastEventId, firstTimeoutMs, build, notFoundKind: ErrorKind.NotFound }, signal)
  }

  /** {@inheritDoc @jaymill/core#EngineClient.probe} */
  async probe (url: string, signal: AbortSignal): Promise<boolean> {
    try {
      await this._sendOnNewConnection(url, { method: 'GET', path: '/health' }, this._probeTimeoutMs, signal)
      return true
    } catch {
      return false
    }
  }

  /** {@inheritDoc @jaymill/core#EngineClient.cancel} */
  async cancel (url: string, requestId: string, signal: AbortSignal, upToAttempt?: number): Promise<void> {
    const headers = upToAttempt === undefined ? {} : { [EngineHeader.Attempt]: String(upToAttempt) }
    const path = `/v1/requests/${encodeURIComponent(requestId)}`
    await this._sendOnNewConnection(url, { method: 'DELETE', path, headers }, this._controlTimeoutMs, signal, [404])
  }

  /** {@inheritDoc @jaymill/core#EngineClient.cancelInBackground} */
  cancelInBackground (url: string, tag: RequestOwnerTag): void {
    this._canceller.cancel(url, tag)
  }

  /** {@inheritDoc @jaymill/core#EngineClient.load} */
  load (url: string, signal: AbortSignal): Promise<LoadReport> {
    return this._get(url, '/load', loadReportSchema, signal)
  }

  /** {@inheritDoc @jaymill/core#EngineClient.cacheEvents} */
  cacheEvents (url: string, since: number, signal: AbortSignal): Promise<CacheEventPage> {
    return this._get(url, `/cache_events?since=${since}`, cacheEventPageSchema, signal)
  }

  /**
   * Closes connections to endpoints that are no longer configured.
   *
   * @param urls - Base URLs of the configured endpoints.
   */
  keepOnly (urls: readonly string[]): void {
    this._pools.keepOnly(urls)
  }

  /** Waits for the cancellations in progress. */
  settled (): Promise<void> {
    return this._canceller.settled()
  }

  private async * _stream (call: EngineCall, streamRequest: StreamRequest, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    const exchange = new Exchange()
    const controller = new AbortController()
    const combined = AbortSignal.any([signal, controller.signal])
    const timer = new ProgressTimer(() => controller.abort(stallError(call)))
    const pool = this._pools.pool(call.url)
    let skipCancel = false
    try {
      timer.wait(streamRequest.firstTimeoutMs)
      const res = await exchange.request(pool, streamRequest.build(combined))
      await checkStatus(res, call.endpointId, streamRequest.notFoundKind)
      for await (const token of this._tokens(res, call, streamRequest.lastId, timer)) {
        skipCancel ||= token.finishReason !== null
        yield token
      }
      skipCancel = true
    } catch (err) {
      if (skipCancel) return
      const failure = exchange.toError(err, combined, call.endpointId)
      const broken = failure.ran !== RanState.No && !signal.aborted
      skipCancel = broken || failure.ran === RanState.No
      if (broken) this._pools.retire(call.url, pool)
      throw failure
    } finally {
      timer.stop()
      if (!skipCancel) this.cancelInBackground(call.url, call.tag)
      controller.abort()
    }
  }

  private async * _tokens (
    res: Dispatcher.ResponseData, call: EngineCall, lastId: number, timer: ProgressTimer
  ): AsyncGenerator<TokenEvent> {
    const { interTokenMs } = this._timeoutsOf(call)
    const stream = new TokenStream(call.generatedTokens, lastId)
    let finished = false
    for await (const chunk of res.body) {
      const tokens = stream.push(chunk)
      if (tokens.length > 0) timer.pause()
      yield * tokens
      finished ||= tokens.some(token => token.finishReason !== null)
      if (tokens.length > 0) timer.wait(interTokenMs)
    }
    if (!finished && !stream.done) throw new RequestError(ErrorKind.EndpointFailed, 'the stream ended before its last token', { ran: RanState.Unknown })
  }

  private async _get<T> (url: string, path: string, schema: Parameters<typeof readJson<T>>[1], signal: AbortSignal): Promise<T> {
    const exchange = new Exchange()
    const combined = AbortSignal.any([signal, AbortSignal.timeout(this._controlTimeoutMs)])
    const pool = this._pools.pool(url)
    try {
      const res = await exchange.request(pool, { method: 'GET', path, signal: combined })
      await checkStatus(res, url)
      return await readJson(res.body, schema, MAX_JSON_BYTES)
    } catch (err) {
      if (!signal.aborted) this._pools.retire(url, pool)
      throw exchange.toError(err, combined, url)
    }
  }

  private async _sendOnNewConnection (
    url: string, opts: RequestOptions, timeoutMs: number, signal: AbortSignal, acceptedStatuses: readonly number[] = []
  ): Promise<void> {
    const client = this._pools.createClient(url)
    const exchange = new Exchange()
    const combined = AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)])
    try {
      const res = await exchange.request(client, { ...opts, signal: combined })
      if (!acceptedStatuses.includes(res.statusCode)) await checkStatus(res, url)
      await readText(res.body, MAX_JSON_BYTES)
    } catch (err) {
      throw exchange.toError(err, combined, url)
    } finally {
      client.destroy().catch(() => {})
    }
  }

  private _timeoutsOf (call: EngineCall): StreamTimeouts {
    return call.timeouts ?? this._timeouts
  }
}

function completionRequest (call: EngineCall, body: string, signal: AbortSignal): RequestOptions {
  const headers = { ...tagHeaders(call.tag), 'content-type': 'application/json' }
  return { method: 'POST', path: '/v1/completions', headers, body, signal, headersTimeout: 0, bodyTimeout: 0 }
}

function stallError (call: EngineCall): RequestError {
  return new RequestError(ErrorKind.Stalled, `${call.endpointId} made no progress`, { ran: RanState.Unknown })
}
