import { buildConnector, Client, Pool, type Dispatcher } from 'undici'
import type { EndpointRecord } from '@jaymill/core'
import { readBounded } from '../JaymillBoundedBytes.js'
import { CONNECT_TIMEOUT_MS, KEEP_ALIVE_DEFAULT_MS, KEEP_ALIVE_MARGIN_MS, POOL_CONNECTIONS } from './constants.js'
import { ExchangeError, ExchangeFailure } from './JaymillExchangeError.js'
import { AnswerHandler, type OpenAnswer, type ResetState, type WholeAnswer } from './JaymillOpenAnswer.js'

/** One HTTP call. */
export interface EndpointCall {
  readonly endpoint: EndpointRecord
  readonly method: string
  readonly path: string
  /** Names and values, one after the other. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /**
   * Whether the call needs a connection of its own. A kept connection may have been closed by the endpoint, or bear a
   * late answer to an earlier request; a call that may run once at most does not take that risk.
   */
  readonly ownConnection: boolean
}

/** HTTP calls to endpoints, over kept connections where that is safe. */
export class EndpointCalls {
  private readonly _pools = new Map<string, Pool>()
  private readonly _connector = new WatchedConnector()

  /**
   * Sends a call.
   *
   * @param call - The call.
   * @param signal - Cancels it; the connection is closed then.
   * @returns The answer when its head is there.
   * @throws ExchangeError when no head arrives.
   */
  async open (call: EndpointCall, signal: AbortSignal): Promise<OpenAnswer> {
    if (signal.aborted) throw new ExchangeError(ExchangeFailure.Connect, 'cancelled before it was sent')
    const dispatcher = call.ownConnection ? this._client(call.endpoint) : this._pool(call.endpoint)
    const answer = new Promise<OpenAnswer>((resolve, reject) => {
      dispatcher.dispatch(toOptions(call), new AnswerHandler(signal, resolve, reject, this._connector))
    })
    if (call.ownConnection) return await closeAfter(dispatcher as Client, answer)
    return await answer
  }

  /**
   * Sends a call and waits for its whole answer.
   *
   * @param call - The call.
   * @param maxBytes - Largest body.
   * @param signal - Cancels it.
   * @returns The answer.
   * @throws ExchangeError when no whole answer arrives.
   */
  async collect (call: EndpointCall, maxBytes: number, signal: AbortSignal): Promise<WholeAnswer> {
    const { status, headers, body } = await this.open(call, signal)
    return { status, headers, body: await readWhole(body, maxBytes) }
  }

  /**
   * Closes kept connections to an endpoint that is no longer published, or that has sent bytes which belong to no request;
   * calls that are under way go on, and the next one makes a new connection.
   *
   * @param endpoint - The endpoint.
   */
  forget (endpoint: EndpointRecord): void {
    const pool = this._pools.get(endpoint.address)
    this._pools.delete(endpoint.address)
    pool?.close().catch(() => pool.destroy())
  }

  private _client ({ address }: EndpointRecord): Client {
    return new Client(`http://${address}`, this._options())
  }

  private _options (): Client.Options {
    return { ...CLIENT_OPTIONS, connect: this._connector.connect }
  }

  private _pool ({ address }: EndpointRecord): Pool {
    const known = this._pools.get(address)
    if (known !== undefined) return known
    const pool = new Pool(`http://${address}`, { ...this._options(), connections: POOL_CONNECTIONS })
    this._pools.set(address, pool)
    return pool
  }
}

const CLIENT_OPTIONS: Client.Options = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: KEEP_ALIVE_DEFAULT_MS,
  keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS
}

/** Connects, and notes while the listeners of a reset connection are called that this is why it ends. */
class WatchedConnector implements ResetState {
  private readonly _connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  private _resetting = false

  /** {@inheritDoc ResetState.resetting} */
  get resetting (): boolean {
    return this._resetting
  }

  /** Connector for undici. */
  readonly connect: buildConnector.connector = (options, done) => {
    this._connect(options, (...result) => {
      result[1]?.prependListener('error', () => this._mark())
      done(...result)
    })
  }

  private _mark (): void {
    this._resetting = true
    process.nextTick(() => { this._resetting = false })
  }
}

async function closeAfter (client: Client, answer: Promise<OpenAnswer>): Promise<OpenAnswer> {
  const destroy = (): void => { client.destroy().catch(() => { /* Nothing is left to be closed. */ }) }
  try {
    const open = await answer
    open.body.once('close', destroy)
    return open
  } catch (err) {
    destroy()
    throw err
  }
}

function toOptions ({ endpoint, method, path, headers, body }: EndpointCall): Dispatcher.DispatchOptions {
  return { origin: `http://${endpoint.address}`, method: method as Dispatcher.HttpMethod, path, headers: [...headers], body }
}

/**
 * Reads a body to its end.
 *
 * @param body - Body of an answer.
 * @param maxBytes - Largest size.
 * @returns The bytes.
 * @throws ExchangeError when it breaks off or is larger.
 */
export async function readWhole (body: OpenAnswer['body'], maxBytes: number): Promise<Buffer> {
  const tooLarge = (): ExchangeError => new ExchangeError(ExchangeFailure.Malformed, `the answer exceeds ${maxBytes} bytes`)
  return await readBounded(body, maxBytes, tooLarge)
}
