import { createInterface } from 'node:readline'
import { Readable } from 'node:stream'
import { ErrorKind, fromProblem, JaymillError, RanState, RequestError, TokenEvent } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import type { CompletionRequest } from '../requests/JaymillCompletionRequest.js'
import { COMPLETION_FORWARD_PATH, decodeLine, LINE_TIMEOUT_MS } from './JaymillCompletionWire.js'

/** Reads responses of completions that run on other hosts. */
export class RemoteCompletions {
  private readonly _ctx: HostContext

  /**
   * @param ctx - Shared components of the host.
   */
  constructor (ctx: HostContext) {
    this._ctx = ctx
  }

  /**
   * Reads a response from the owner of its key.
   *
   * @param ownerId - Host that owns the key.
   * @param req - Completion request.
   * @param signal - Aborts when the caller disconnects; the owner then stops the run.
   * @returns Tokens in order.
   * @throws RequestError of kind `PeerFailed` if the owner is lost, else the error that the owner reported.
   */
  async * read (ownerId: string, req: CompletionRequest, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    const idleTimer = new IdleTimer(signal)
    try {
      const body = await this._open(ownerId, req, idleTimer.signal)
      for await (const line of createInterface({ input: body })) {
        idleTimer.restart()
        const token = decodeLine(line)
        if (token === undefined) return
        if (token !== null) yield token
      }
    } catch (err) {
      signal.throwIfAborted()
      throw err instanceof JaymillError ? err : hostLostError(ownerId, err)
    } finally {
      idleTimer.stop()
    }
    throw hostLostError(ownerId)
  }

  private async _open (ownerId: string, req: CompletionRequest, signal: AbortSignal): Promise<Readable> {
    const response = await this._ctx.peers.client(ownerId).forward({
      path: COMPLETION_FORWARD_PATH, method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(req)
    }, signal)
    if (response.statusCode === 200) return response.body
    throw fromProblem(await response.body.json()) ?? hostLostError(ownerId)
  }
}

function hostLostError (ownerId: string, cause?: unknown): RequestError {
  return new RequestError(ErrorKind.PeerFailed, `host ${ownerId} was lost while it ran the completion`, {
    ran: RanState.Unknown, cause
  })
}

/** Aborts when no line arrives for `LINE_TIMEOUT_MS`. */
class IdleTimer {
  readonly signal: AbortSignal
  private readonly _controller = new AbortController()
  private readonly _timer: NodeJS.Timeout

  constructor (parent: AbortSignal) {
    this.signal = AbortSignal.any([parent, this._controller.signal])
    this._timer = setTimeout(() => this._controller.abort(), LINE_TIMEOUT_MS)
  }

  restart (): void {
    this._timer.refresh()
  }

  stop (): void {
    clearTimeout(this._timer)
    this._controller.abort()
  }
}
