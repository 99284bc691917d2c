import type { IncomingMessage, ServerResponse } from 'node:http'
import { ErrorKind, fleetIndex, RanState, RequestError } from '@jaymill/core'
import { readBody } from '../callers/JaymillBody.js'
import { sendProblem } from '../callers/JaymillProblemResponse.js'
import { forwardedHeaders } from '../callers/JaymillServiceCall.js'
import type { HostContext } from '../JaymillHostContext.js'
import { ACCOUNT_HEADER, KEY_HEADER, MINTED_HEADER, PROBLEM_HEADER, REASON_HEADER, RECALL_HEADER } from './constants.js'
import type { KeyedArrival } from './JaymillKeyedArrival.js'
import type { OwnedRequests } from './JaymillOwnedRequests.js'
import { UndecidedError } from './JaymillUndecidedError.js'

const INTERNAL_HEADERS: readonly string[] = [ACCOUNT_HEADER, KEY_HEADER, MINTED_HEADER, RECALL_HEADER]
const FORWARD_PREFIX = '/forward'

/** Serves requests that other hosts forward to this host as the owner of their keys, on the peer listener. */
export class ForwardServer {
  private readonly _ctx: HostContext
  private readonly _ownedRequests: OwnedRequests

  /**
   * @param ctx - Shared components of the host.
   * @param ownedRequests - Requests whose keys this host owns.
   */
  constructor (ctx: HostContext, ownedRequests: OwnedRequests) {
    this._ctx = ctx
    this._ownedRequests = ownedRequests
  }

  /**
   * Serves a forwarded request.
   *
   * @param req - Request from another host.
   * @param res - Its response; errors carry a header that distinguishes them from responses of endpoints.
   */
  handle (req: IncomingMessage, res: ServerResponse): void {
    this._serve(req, res).catch((err: unknown) => {
      this._ctx.log.warn('forwarded request refused or failed', { err })
      if (!res.headersSent) setProblemHeaders(res, err)
      sendProblem(res, err)
    })
  }

  private async _serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    await this._ownedRequests.serve(await this._readArrival(req, res).catch((err: unknown) => { throw toOutcomeUnknown(err) }), res)
  }

  private async _readArrival (req: IncomingMessage, res: ServerResponse): Promise<KeyedArrival> {
    this._ctx.requireReady()
    const headers = forwardedHeaders(req)
    const path = (req.url ?? '').slice(FORWARD_PREFIX.length)
    const method = req.method ?? 'GET'
    return {
      requestId: requireHeader(headers, 'x-request-id'),
      accountId: requireHeader(headers, ACCOUNT_HEADER),
      key: requireHeader(headers, KEY_HEADER),
      minted: headers[MINTED_HEADER] === '1',
      recall: headers[RECALL_HEADER] === '1',
      forwarded: true,
      match: fleetIndex(this._ctx.fleet()).service(method, new URL(path, 'http://peer').pathname),
      method,
      path,
      headers: Object.fromEntries(Object.entries(headers).filter(([name]) => !INTERNAL_HEADERS.includes(name))),
      body: await readBody(req, res, this._ctx)
    }
  }
}

function requireHeader (headers: Readonly<Record<string, string>>, name: string): string {
  const value = headers[name]
  if (value === undefined) throw new RequestError(ErrorKind.BadRequest, `forwarded request has no header ${name}`)
  return value
}

/**
 * Converts an error that occurred before the key of a request was looked up (host not ready, request malformed or body not
 * read): this host cannot tell whether the request has run.
 */
function toOutcomeUnknown (err: unknown): RequestError {
  const message = err instanceof Error ? err.message : 'unreadable request'
  return new RequestError(ErrorKind.OutcomeUnknown, message, { ran: RanState.Unknown, cause: err })
}

function setProblemHeaders (res: ServerResponse, err: unknown): void {
  res.setHeader(PROBLEM_HEADER, '1')
  if (err instanceof UndecidedError) res.setHeader(REASON_HEADER, err.reason)
}
