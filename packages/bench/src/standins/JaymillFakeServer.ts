import { once } from 'node:events'
import { createServer, IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Call that a fake server received. */
export interface ReceivedCall {
  readonly requestId: string
  readonly idempotencyKey: string | null
}

/** Base class of the fake servers: an HTTP server on loopback. */
export abstract class FakeServer {
  private readonly _server: Server
  private _frozen = false
  private readonly _openResponses = new Set<ServerResponse>()
  private readonly _mutedResponses = new WeakSet<ServerResponse>()
  /** Calls in the order of arrival. */
  readonly received: ReceivedCall[] = []

  constructor () {
    this._server = createServer((req, res) => { this._serve(req, res).catch(() => res.destroy()) })
  }

  /** Base URL; valid after `start`. */
  get url (): string {
    return `http://127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Whether the server has stopped responding on every connection. */
  get frozen (): boolean {
    return this._frozen
  }

  /**
   * Listens until the signal aborts.
   *
   * @param signal - Closes the server and its connections.
   * @param port - Port of an earlier start; 0 for a free one.
   */
  async start (signal: AbortSignal, port = 0): Promise<void> {
    this._server.listen(port, '127.0.0.1')
    await once(this._server, 'listening')
    signal.addEventListener('abort', () => this.kill(), { once: true })
  }

  /** Closes the listener and resets every connection. */
  kill (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Stops responding on every connection without closing any. */
  freeze (): void {
    this._frozen = true
  }

  /** Stops sending on the connections that are open now; new connections work. */
  mute (): void {
    this._openResponses.forEach(res => this._mutedResponses.add(res))
  }

  /** Responds to requests again. */
  thaw (): void {
    this._frozen = false
  }

  /**
   * Handles one request.
   *
   * @param req - Request.
   * @param res - Response.
   */
  protected abstract handle (req: IncomingMessage, res: ServerResponse): Promise<void>

  /**
   * Checks whether a response is stalled by `freeze` or `mute`.
   *
   * @param res - Response.
   * @returns Whether nothing more may be sent on it.
   */
  protected isMuted (res: ServerResponse): boolean {
    return this._frozen || this._mutedResponses.has(res)
  }

  /**
   * Records a call in the order of arrival.
   *
   * @param req - Request.
   */
  protected recordCall (req: IncomingMessage): void {
    this.received.push({
      requestId: callerRequestId(req),
      idempotencyKey: req.headers['idempotency-key'] === undefined ? null : String(req.headers['idempotency-key'])
    })
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    this._openResponses.add(res)
    res.once('close', () => this._openResponses.delete(res))
    try {
      if (!this._frozen) await this.handle(req, res)
    } catch {
      res.destroy()
    }
  }
}

/**
 * Extracts the caller's request id.
 *
 * @param req - Request of a host.
 * @returns The request id without the suffix that makes it unique on engines.
 */
function callerRequestId (req: IncomingMessage): string {
  return String(req.headers['x-request-id'] ?? '').split('~')[0] ?? ''
}

/**
 * Reads a JSON body.
 *
 * @param req - Request.
 * @returns The parsed value; an empty body gives an empty object.
 */
export async function readJson (req: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : JSON.parse(text) as Record<string, unknown>
}

/**
 * Sends a JSON response.
 *
 * @param res - Response.
 * @param status - HTTP status.
 * @param value - Body.
 */
export function sendJson (res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, { 'Content-Type': 'application/json' })
  res.end(JSON.stringify(value))
}
