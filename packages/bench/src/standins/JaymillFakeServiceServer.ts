import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { FakeServer, readJson, sendJson } from './JaymillFakeServer.js'

/** Booking that the service has carried out. */
export interface CompletedBooking {
  readonly idempotencyKey: string | null
  readonly customer: string
}

/** Fake plain service with bookings, which must not be repeated, and stock lookups. It does not deduplicate requests. */
export class FakeServiceServer extends FakeServer {
  private readonly _bookings: CompletedBooking[] = []
  private readonly _latencyMs: number
  private _running = 0
  private _responsesToDrop = 0

  /**
   * @param latencyMs - Time that each call takes, in milliseconds.
   */
  constructor (latencyMs = 5) {
    super()
    this._latencyMs = latencyMs
  }

  /** Bookings carried out, in order. */
  get bookings (): readonly CompletedBooking[] {
    return this._bookings
  }

  /**
   * Makes the next bookings run and then close their connection without a response.
   *
   * @param calls - Number of bookings.
   */
  dropNextResponses (calls: number): void {
    this._responsesToDrop = calls
  }

  /** {@inheritDoc FakeServer.handle} */
  protected async handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { pathname } = new URL(req.url ?? '/', this.url)
    if (pathname === '/health') return sendJson(res, 200, {})
    if (pathname === '/load') return sendJson(res, 200, { running: [], heldPieces: 0, ageMs: 0 })
    if (pathname === '/state') return sendJson(res, 200, this._state())
    const body = await readJson(req)
    this.recordCall(req)
    this._running++
    try {
      await this._run(req, res, pathname, body)
    } finally {
      this._running--
    }
  }

  private _state (): object {
    return { running: this._running, heldPieces: 0, received: this.received, cancelled: 0 }
  }

  private async _run (req: IncomingMessage, res: ServerResponse, pathname: string, body: Record<string, unknown>): Promise<void> {
    await sleep(this._latencyMs)
    if (req.method === 'GET') return sendJson(res, 200, { item: pathname.split('/').at(-1), inStock: 7 })
    const key = req.headers['idempotency-key']
    this._bookings.push({ idempotencyKey: key === undefined ? null : String(key), customer: String(body.customer) })
    if (this._responsesToDrop > 0) {
      this._responsesToDrop--
      req.socket.destroy()
      return
    }
    sendJson(res, 201, { booking: this._bookings.length, customer: body.customer })
  }
}
