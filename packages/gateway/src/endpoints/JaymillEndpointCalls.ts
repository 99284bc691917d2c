import { Client, Pool, type Dispatcher } from 'undici'
import { ErrorKind, RequestError, type EndpointRecord } from '@jaymill/core'
import { createConnector } from '@jaymill/http'
import { readBounded } from '../JaymillBoundedBytes.js'
import { CONNECT_TIMEOUT_MS, KEEP_ALIVE_DEFAULT_MS, KEEP_ALIVE_MARGIN_MS, MAX_RESPONSE_HEAD_BYTES, POOL_CONNECTIONS } from './constants.js'
import { ExchangeError, ExchangeFailure } from './JaymillExchangeError.js'
import { ResponseHandler, type BufferedResponse, type StreamedResponse } from './JaymillStreamedResponse.js'

/** One HTTP call to an endpoint. */
export interface EndpointCall {
  readonly endpoint: EndpointRecord
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /**
   * Whether the call needs a new connection that no other call uses. A keep-alive connection may have been closed by the
   * endpoint, or carry a late response to an earlier request, so calls that must run at most once do not use one.
   */
  readonly ownConnection: boolean
  /** Id of the caller's request that is forwarded; absent for calls of the host itself. */
  readonly requestId?: string
  /** Called with the size of each part of a buffered response, in bytes. */
  readonly onBytes?: (bytes: number) => void
}

/** Called with each call whose response has begun. */
export type ResponseListener = (call: EndpointCall, response: StreamedResponse) => void

/** Called with each call that got no response and was not cancelled. */
export type FailureListener = (call: EndpointCall, failure: ExchangeFailure) => void

/** Called with each call that the HTTP client does not send because of its request. */
export type UnsentListener = (call: EndpointCall) => void

/** Makes HTTP calls to endpoints, over keep-alive connections where that is safe. */
export class EndpointCalls {
  private readonly _pools = new Map<string, Pool>()
  private readonly _responseListeners: ResponseListener[] = []
  private readonly _failureListeners: FailureListener[] = []
  private readonly _unsentListeners: UnsentListener[] = []

  /**
   * Adds a listener for responses.
   *
   * @param listener - Called when the head of a response has arrived.
   */
  onResponse (listener: ResponseListener): void {
    this._responseListeners.push(listener)
  }

  /**
   * Adds a listener for failures.
   *
   * @param listener - Called when a call has failed before the head of its response.
   */
  onFailure (listener: FailureListener): void {
    this._failureListeners.push(listener)
  }

  /**
   * Adds a listener for calls that are not sent.
   *
   * @param listener - Called when the HTTP client has refused to send a call; this is no failure of the endpoint.
   */
  onUnsent (listener: UnsentListener): void {
    this._unsentListeners.push(listener)
  }

  /**
   * Sends a call and streams its response.
   *
   * @param call - The call.
   * @param signal - Cancels the call and closes its connection.
   * @returns The response, as soon as its head has arrived.
   * @throws ExchangeError when no response head arrives, or RequestError of kind `NotForwardable` when the request can't be sent.
   */
  async open (call: EndpointCall, signal: AbortSignal): Promise<StreamedResponse> {
    if (signal.aborted) throw new ExchangeError(ExchangeFailure.Connect, 'the call was cancelled before it was sent')
    const dispatcher = call.ownConnection ? this._client(call.endpoint) : this._pool(call.endpoint)
    const response = new Promise<StreamedResponse>((resolve, reject) => {
      dispatcher.dispatch(toOptions(call), new ResponseHandler(signal, resolve, reject))
    })
    try {
      const opened = call.ownConnection ? await closeWithBody(dispatcher as Client, response) : await response
      this._responseListeners.forEach(listener => listener(call, opened))
      return opened
    } catch (err) {
      if (err instanceof ExchangeError && !signal.aborted) this._failureListeners.forEach(listener => listener(call, err.failure))
      if (err instanceof RequestError && err.kind === ErrorKind.NotForwardable) this._unsentListeners.forEach(listener => listener(call))
      throw err
    }
  }

  /**
   * Sends a call and buffers its response.
   *
   * @param call - The call.
   * @param maxBytes - Maximum size of the body, in bytes.
   * @param signal - Cancels the call.
   * @returns The complete response.
   * @throws ExchangeError when no complete response arrives, or RequestError of kind `NotForwardable` when the request can't be sent.
   */
  async collect (call: EndpointCall, maxBytes: number, signal: AbortSignal): Promise<BufferedResponse> {
    const { status, headers, body } = await this.open(call, signal)
    return { status, headers, body: await bufferBody(body, maxBytes, call.onBytes) }
  }

  /**
   * Closes the pooled connections to an endpoint that is no longer published, or that sent bytes that belong to no request.
   * Running calls continue; the next call opens a new connection.
   *
   * @param endpoint - Endpoint whose connections are closed.
   */
  closeConnections (endpoint: EndpointRecord): void {
    const pool = this._pools.get(endpoint.address)
    this._pools.delete(endpoint.address)
    pool?.close().catch(() => pool.destroy())
  }

  private _client ({ address }: EndpointRecord): Client {
    return new Client(`http://${address}`, CLIENT_OPTIONS)
  }

  private _pool ({ address }: EndpointRecord): Pool {
    const existing = this._pools.get(address)
    if (existing !== undefined) return existing
    const pool = new Pool(`http://${address}`, { ...CLIENT_OPTIONS, connections: POOL_CONNECTIONS })
    this._pools.set(address, pool)
    return pool
  }
}

const CLIENT_OPTIONS: Client.Options = {
  connect: createConnector(CONNECT_TIMEOUT_MS),
  pipelining: 1,
  maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: KEEP_ALIVE_DEFAULT_MS,
  keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS
}

async function closeWithBody (client: Client, pending: Promise<StreamedResponse>): Promise<StreamedResponse> {
  const destroy = (): void => { client.destroy().catch(() => { /* The client is already closed. */ }) }
  try {
    const response = await pending
    response.body.once('close', destroy)
    return response
  } catch (err) {
    destroy()
    throw err
  }
}

function toOptions ({ endpoint, method, path, headers, body }: EndpointCall): Dispatcher.DispatchOptions {
  return { origin: `http://${endpoint.address}`, method: method as Dispatcher.HttpMethod, path, headers: [...headers], body }
}

/**
 * Buffers a response body.
 *
 * @param body - Body of a response.
 * @param maxBytes - Maximum size, in bytes.
 * @param onBytes - Called with the size of each part, in bytes.
 * @returns The bytes of the body.
 * @throws ExchangeError when the body breaks off or exceeds the maximum size.
 */
export async function bufferBody (body: StreamedResponse['body'], maxBytes: number, onBytes?: (bytes: number) => void): Promise<Buffer> {
  const tooLarge = (): ExchangeError => new ExchangeError(ExchangeFailure.Malformed, `the response exceeds ${maxBytes} bytes`)
  return await readBounded(body, maxBytes, tooLarge, onBytes)
}
