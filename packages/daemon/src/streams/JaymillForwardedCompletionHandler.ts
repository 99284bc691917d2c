import type { IncomingMessage, ServerResponse } from 'node:http'
import { ErrorKind, RequestError, toProblem } from '@jaymill/core'
import { parseJson, readBody } from '../callers/JaymillBody.js'
import { callerSignal, writeToCaller } from '../callers/JaymillCallerExchange.js'
import { sendProblem } from '../callers/JaymillProblemResponse.js'
import { deadlineSignal } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import {
  CompletionRequest, completionRequestSchema, openRecord, resolveCompletion
} from '../requests/JaymillCompletionRequest.js'
import { runWithRecord } from '../requests/JaymillRunWithRecord.js'
import type { CompletionService } from './JaymillCompletionService.js'
import { CompletionLine, encodeLine, LINE_INTERVAL_MS } from './JaymillCompletionWire.js'

/** Runs completions that other hosts forward to the peer listener. */
export class ForwardedCompletionHandler {
  private readonly _ctx: HostContext
  private readonly _local: CompletionService
  private readonly _running = new Set<Promise<void>>()

  /**
   * @param ctx - Shared components of the host.
   * @param local - Completions that run on this host.
   */
  constructor (ctx: HostContext, local: CompletionService) {
    this._ctx = ctx
    this._local = local
  }

  /** Waits until no forwarded completion is running. */
  async idle (): Promise<void> {
    while (this._running.size > 0) await Promise.all(this._running)
  }

  /**
   * Serves a forwarded completion.
   *
   * @param req - Request of another host.
   * @param res - Response; receives one line per token, keep-alive lines between them and a last line for the end or the failure.
   */
  handle (req: IncomingMessage, res: ServerResponse): void {
    const run = this._serve(req, res)
      .catch((err: unknown) => this._sendFailure(res, err))
      .finally(() => this._running.delete(run))
    this._running.add(run)
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this._ctx.draining()) throw new RequestError(ErrorKind.Stopping, 'this host is stopping')
    const value = parseJson(await readBody(req, res, this._ctx))
    const parsed = completionRequestSchema.safeParse(value)
    if (!parsed.success) throw new RequestError(ErrorKind.BadRequest, 'a forwarded completion is malformed', { cause: parsed.error })
    const record = openRecord(this._ctx, parsed.data)
    await runWithRecord(this._ctx, record, () => this._stream(parsed.data, record, res))
  }

  private async _stream (req: CompletionRequest, record: ReturnType<typeof openRecord>, res: ServerResponse): Promise<void> {
    const controller = new AbortController()
    const budgetMs = req.budgetMs ?? 0
    const signal = deadlineSignal(budgetMs, [callerSignal(res)], controller.signal)
    res.writeHead(200, { 'content-type': 'application/x-ndjson' })
    const keepAliveTimer = setInterval(() => res.write(encodeLine({ alive: true })), LINE_INTERVAL_MS)
    const write = async (line: CompletionLine): Promise<void> => {
      await writeToCaller(res, encodeLine(line), this._ctx.settings.limits.callerStallMs, signal)
    }
    try {
      for await (const token of this._local.read(resolveCompletion(this._ctx, req, record, budgetMs), req.lastId, signal)) await write({ token })
      res.end(encodeLine({ end: true }))
    } finally {
      clearInterval(keepAliveTimer)
      controller.abort()
    }
  }

  private _sendFailure (res: ServerResponse, err: unknown): void {
    if (res.headersSent) res.end(encodeLine({ problem: toProblem(err) }))
    else sendProblem(res, err)
  }
}
