import { EventAssembler } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { endToEnd, prepareUnframed } from '../callers/JaymillReply.js'
import { ExchangeError, ExchangeFailure } from '../endpoints/JaymillExchangeError.js'
import type { OpenAnswer } from '../endpoints/JaymillOpenAnswer.js'

/** How the relay of one answer ended. */
export enum RelayEnd {
  Complete = 'complete',
  /** The endpoint broke off or fell silent; the caller's stream is still open. */
  Broken = 'broken',
  /** The caller has gone, or the time is over. */
  Ended = 'ended'
}

/** Passes the events of one request on, possibly from several endpoints one after the other. */
export class StreamRelay {
  private readonly _request: GatewayRequest
  private readonly _resumable: boolean
  private _lastId: string | undefined
  private _bytes = 0

  /**
   * @param request - Request whose caller gets the events.
   */
  constructor (request: GatewayRequest) {
    this._request = request
    this._resumable = request.route.resumable
    this._lastId = request.facts.lastEventId
  }

  /** Id of the last event that the caller got; its own starting point before the first. */
  get lastEventId (): string | undefined {
    return this._lastId
  }

  /** Whether the caller has received the head of the answer. */
  get started (): boolean {
    return this._request.res.headersSent
  }

  /** Bytes passed on so far. */
  get bytes (): number {
    return this._bytes
  }

  /**
   * Passes one answer on until it ends.
   *
   * @param answer - Success of an endpoint; only the first one's head reaches the caller.
   * @param silenceMs - Silence after which the answer counts as broken, in milliseconds; `undefined` for no limit.
   * @param onFirst - Called when the first bytes have been passed on.
   * @returns How it ended.
   */
  async pass (answer: OpenAnswer, silenceMs: number | undefined, onFirst: () => void): Promise<RelayEnd> {
    const { res } = this._request
    if (!res.headersSent) {
      prepareUnframed(res, answer.headers)
      res.writeHead(answer.status, this._head(answer))
      res.flushHeaders()
    }
    const events = new EventAssembler()
    const watch = this._watch(answer, silenceMs)
    try {
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        watch?.refresh()
        if (this._bytes === 0) onFirst()
        await this._write(this._resumable ? this._whole(events, chunk) : chunk)
      }
      return await this._complete(events)
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err
      return this._request.signal.aborted ? RelayEnd.Ended : RelayEnd.Broken
    } finally {
      clearTimeout(watch)
    }
  }

  private _head ({ headers }: OpenAnswer): ReturnType<typeof endToEnd> {
    const { 'content-length': length, ...rest } = endToEnd(headers)
    return this._resumable || length === undefined ? rest : { ...rest, 'content-length': length }
  }

  private _watch ({ body }: OpenAnswer, silenceMs: number | undefined): NodeJS.Timeout | undefined {
    if (silenceMs === undefined) return undefined
    return setTimeout(() => body.destroy(new ExchangeError(ExchangeFailure.Silent, 'no event in time')), silenceMs)
  }

  private _whole (events: EventAssembler, chunk: Buffer): Buffer {
    const { bytes, lastId } = events.push(chunk)
    this._lastId = lastId ?? this._lastId
    return bytes
  }

  private async _complete (events: EventAssembler): Promise<RelayEnd> {
    if (this._request.signal.aborted) return RelayEnd.Ended
    await this._write(events.end())
    this._request.res.end()
    return RelayEnd.Complete
  }

  private async _write (bytes: Buffer): Promise<void> {
    const { res } = this._request
    if (bytes.length === 0) return
    this._bytes += bytes.length
    if (res.write(bytes) || res.destroyed) return
    await new Promise<void>(resolve => {
      const done = (): void => { res.off('drain', done); res.off('close', done); resolve() }
      res.on('drain', done)
      res.on('close', done)
    })
  }
}
