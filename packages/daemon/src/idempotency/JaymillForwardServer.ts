import type { IncomingMessage, ServerResponse } from 'node:http'
import { ErrorKind, fleetIndex, RanState, RequestError } from '@jaymill/core'
import { readBody } from '../callers/JaymillBody.js'
import { sendProblem } from '../callers/JaymillProblemReply.js'
import { forwardedHeaders } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import { ACCOUNT_HEADER, KEY_HEADER, MINTED_HEADER, PROBLEM_HEADER, REASON_HEADER, RECALL_HEADER } from './constants.js'
import type { KeyedArrival } from './JaymillKeyedArrival.js'
import type { OwnedRequests } from './JaymillOwnedRequests.js'
import { UndecidedError } from './JaymillUndecidedError.js'

const INTERNAL: readonly string[] = [ACCOUNT_HEADER, KEY_HEADER, MINTED_HEADER, RECALL_HEADER]
const FORWARD_PREFIX = '/forward'

/** Owner side of forwarded requests, on the peer listener. */
export class ForwardServer {
  private readonly _ctx: HostContext
  private readonly _owned: OwnedRequests

  /**
   * @param ctx - Shared parts of the host.
   * @param owned - Requests whose keys this host owns.
   */
  constructor (ctx: HostContext, owned: OwnedRequests) {
    this._ctx = ctx
    this._owned = owned
  }

  /**
   * Serves a forwarded request.
   *
   * @param req - Request of another host.
   * @param res - Its response; failures carry a header that tells them from answers of endpoints.
   */
  handle (req: IncomingMessage, res: ServerResponse): void {
    this._serve(req, res).catch((err: unknown) => {
      this._ctx.log.warn('forwarded request refused or failed', { err })
      if (!res.headersSent) markProblem(res, err)
      sendProblem(res, err)
    })
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this._owned.serve(await this._arrival(req, res).catch((err: unknown) => { throw asUndecided(err) }), res)
  }

  private async _arrival (req: IncomingMessage, res: ServerResponse): Promise<KeyedArrival> {
    this._ctx.requireReady()
    const headers = forwardedHeaders(req)
    const path = (req.url ?? '').slice(FORWARD_PREFIX.length)
    const method = req.method ?? 'GET'
    return {
      requestId: required(headers, 'x-request-id'),
      accountId: required(headers, ACCOUNT_HEADER),
      key: required(headers, KEY_HEADER),
      minted: headers[MINTED_HEADER] === '1',
      recall: headers[RECALL_HEADER] === '1',
      match: fleetIndex(this._ctx.fleet()).service(method, new URL(path, 'http://peer').pathname),
      method,
      path,
      headers: Object.fromEntries(Object.entries(headers).filter(([name]) => !INTERNAL.includes(name))),
      body: await readBody(req, res, this._ctx)
    }
  }
}

function required (headers: Readonly<Record<string, string>>, name: string): string {
  const value = headers[name]
  if (value === undefined) throw new RequestError(ErrorKind.BadRequest, `a forwarded request lacks the header ${name}`)
  return value
}

/** A host that could not even read the request knows nothing about its key. */
function asUndecided (err: unknown): RequestError {
  const message = err instanceof Error ? err.message : 'unreadable request'
  return new RequestError(ErrorKind.OutcomeUnknown, message, { ran: RanState.Unknown, cause: err })
}

function markProblem (res: ServerResponse, err: unknown): void {
  res.setHeader(PROBLEM_HEADER, '1')
  if (err instanceof UndecidedError) res.setHeader(REASON_HEADER, err.reason)
}
