import { createInterface } from 'node:readline'
import { Readable } from 'node:stream'
import { ErrorKind, fromProblem, JaymillError, RanState, RequestError, TokenEvent } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionRequest } from '../requests/JaymillCompletionRequest.js'
import { ANSWER_PATH, decodeLine, LINE_TIMEOUT_MS } from './JaymillAnswerWire.js'

/** Reads answers that run on other hosts. */
export class RemoteAnswers {
  private readonly _ctx: HostContext

  /**
   * @param ctx - Shared parts of the host.
   */
  constructor (ctx: HostContext) {
    this._ctx = ctx
  }

  /**
   * Reads an answer from the owner of its key.
   *
   * @param ownerId - Owner.
   * @param req - Completion.
   * @param signal - Aborts when the caller is gone; the owner then stops the run.
   * @returns Tokens in order.
   * @throws RequestError of kind `PeerFailed` when the owner is lost, else what the owner reported.
   */
  async * read (ownerId: string, req: CompletionRequest, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    const silence = new SilenceTimer(signal)
    try {
      const body = await this._open(ownerId, req, silence.signal)
      for await (const line of createInterface({ input: body })) {
        silence.restart()
        const token = decodeLine(line)
        if (token === undefined) return
        if (token !== null) yield token
      }
    } catch (err) {
      signal.throwIfAborted()
      throw err instanceof JaymillError ? err : lost(ownerId, err)
    } finally {
      silence.stop()
    }
    throw lost(ownerId)
  }

  private async _open (ownerId: string, req: CompletionRequest, signal: AbortSignal): Promise<Readable> {
    const reply = await this._ctx.peers.client(ownerId).forward({
      path: ANSWER_PATH, method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(req)
    }, signal)
    if (reply.statusCode === 200) return reply.body
    throw fromProblem(await reply.body.json()) ?? lost(ownerId)
  }
}

function lost (ownerId: string, cause?: unknown): RequestError {
  return new RequestError(ErrorKind.PeerFailed, `host ${ownerId} was lost while it ran the answer`, { ran: RanState.Unknown, cause })
}

/** Aborts when nothing arrives for too long. */
class SilenceTimer {
  readonly signal: AbortSignal
  private readonly _ctl = new AbortController()
  private readonly _timer: NodeJS.Timeout

  constructor (parent: AbortSignal) {
    this.signal = AbortSignal.any([parent, this._ctl.signal])
    this._timer = setTimeout(() => this._ctl.abort(), LINE_TIMEOUT_MS)
  }

  restart (): void {
    this._timer.refresh()
  }

  stop (): void {
    clearTimeout(this._timer)
    this._ctl.abort()
  }
}
