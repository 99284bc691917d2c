import {
  ErrorKind, HostState, JaymillError, RanState, rendezvousOrder, RequestError, RequestEvent, RequestRecord, TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { CompletionRequest, orderOf } from '../requests/JaymillCompletionRequest.js'
import type { AnswerService } from './JaymillAnswerService.js'
import type { RemoteAnswers } from './JaymillRemoteAnswers.js'

/** Hosts that are asked for an answer before this host runs it. */
const MAX_OWNERS_ASKED = 2

/** Failures of the owner after which this host runs the answer itself. */
const OWNER_LOST: readonly ErrorKind[] = [ErrorKind.PeerFailed, ErrorKind.Stopping, ErrorKind.NotReady, ErrorKind.NotFound]

/** Reads an answer at the owner of its key, so that a resend through any host meets the running one. */
export class AnswerRouter {
  private readonly _ctx: HostContext
  private readonly _local: AnswerService
  private readonly _remote: RemoteAnswers

  /**
   * @param ctx - Shared parts of the host.
   * @param local - Answers that run here.
   * @param remote - Answers that run on other hosts.
   */
  constructor (ctx: HostContext, local: AnswerService, remote: RemoteAnswers) {
    this._ctx = ctx
    this._local = local
    this._remote = remote
  }

  /**
   * @param req - Completion.
   * @param record - Its record.
   * @param budgetMs - Time for which the caller waits, in milliseconds.
   * @param signal - Aborts when the caller is gone or its deadline has passed.
   * @returns Tokens after `req.lastId`, in order, each once.
   * @throws RequestError when the answer cannot be completed.
   */
  read (req: CompletionRequest, record: RequestRecord, budgetMs: number, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    return this._readAt(this._ownersOf(req), { ...req, budgetMs }, record, signal)
  }

  /** Running a model twice does no harm, so the list in force is enough to choose by; no lease is needed. */
  private _ownersOf ({ idempotencyKey, accountId }: CompletionRequest): string[] {
    if (idempotencyKey === undefined) return []
    const nodes = this._ctx.hosts().hosts.filter(({ state }) => state === HostState.Live).map(({ id }) => ({ id, weight: 1 }))
    const owners = rendezvousOrder(`${accountId}/${idempotencyKey}`, nodes).map(({ id }) => id)
    return owners.slice(0, MAX_OWNERS_ASKED)
  }

  private async * _readAt (
    owners: readonly string[], req: CompletionRequest & { budgetMs: number }, record: RequestRecord, signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    const [ownerId, ...others] = owners
    const received: TokenEvent[] = []
    if (ownerId === undefined || ownerId === this._ctx.identity.id) return yield * this._goOn(req, record, received, signal)
    record.decide(RequestEvent.Forward, 'owner of the key', this._ctx.clock.nowMs(), ownerId)
    try {
      for await (const token of this._remote.read(ownerId, req, signal)) {
        received.push(token)
        yield token
      }
      return
    } catch (err) {
      if (!(err instanceof JaymillError) || !OWNER_LOST.includes(err.kind)) throw err
      record.decide(RequestEvent.Retry, err.message, this._ctx.clock.nowMs())
    }
    if (received.length === 0) yield * this._readAt(others, req, record, signal)
    else yield * this._goOn(req, record, received, signal)
  }

  private async * _goOn (
    req: CompletionRequest & { budgetMs: number }, record: RequestRecord, received: readonly TokenEvent[], signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    if (received.at(-1)?.finishReason != null) return
    if (req.lastId > 0 && received.length > 0) {
      throw new RequestError(ErrorKind.OutcomeUnknown, 'the host that held the answer is lost; resend from the start', { ran: RanState.Unknown })
    }
    yield * this._local.read(orderOf(this._ctx, req, record, req.budgetMs), req.lastId + received.length, signal, received)
  }
}
