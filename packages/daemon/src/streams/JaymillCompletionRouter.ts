import {
  ErrorKind, HostState, JaymillError, RanState, rendezvousOrder, RequestError, RequestEvent, RequestRecord, TokenEvent
} from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'
import { CompletionRequest, resolveCompletion } from '../requests/JaymillCompletionRequest.js'
import type { CompletionService } from './JaymillCompletionService.js'
import type { RemoteCompletions } from './JaymillRemoteCompletions.js'

/** Maximum number of owners to which a completion is forwarded before this host runs it. */
const MAX_OWNERS = 2

/** Failures of an owner after which the next owner or this host runs the completion. */
const OWNER_UNAVAILABLE_KINDS: readonly ErrorKind[] = [
  ErrorKind.PeerFailed, ErrorKind.Stopping, ErrorKind.NotReady, ErrorKind.NotFound
]

/** Reads responses from the owner of their idempotency key, so that a retry through any host joins the running completion. */
export class CompletionRouter {
  private readonly _ctx: HostContext
  private readonly _local: CompletionService
  private readonly _remote: RemoteCompletions

  /**
   * @param ctx - Shared components of the host.
   * @param local - Completions that run on this host.
   * @param remote - Completions that run on other hosts.
   */
  constructor (ctx: HostContext, local: CompletionService, remote: RemoteCompletions) {
    this._ctx = ctx
    this._local = local
    this._remote = remote
  }

  /**
   * Reads the response to a completion request.
   *
   * @param req - Completion request.
   * @param record - Record of the request.
   * @param budgetMs - Time until the deadline of the request, in milliseconds.
   * @param signal - Aborts when the caller disconnects or its deadline has passed.
   * @returns Tokens after `req.lastId`, in order, each once.
   * @throws RequestError if the response cannot be completed.
   */
  read (req: CompletionRequest, record: RequestRecord, budgetMs: number, signal: AbortSignal): AsyncGenerator<TokenEvent> {
    return this._readFromOwners(this._ownersOf(req), { ...req, budgetMs }, record, signal)
  }

  /** Running a completion twice is harmless, so owners are chosen from the active host list, without a lease. */
  private _ownersOf ({ idempotencyKey, accountId }: CompletionRequest): string[] {
    if (idempotencyKey === undefined) return []
    const nodes = this._ctx.hosts().hosts.filter(({ state }) => state === HostState.Live).map(({ id }) => ({ id, weight: 1 }))
    const owners = rendezvousOrder(`${accountId}/${idempotencyKey}`, nodes).map(({ id }) => id)
    return owners.slice(0, MAX_OWNERS)
  }

  private async * _readFromOwners (
    owners: readonly string[], req: CompletionRequest & { budgetMs: number }, record: RequestRecord, signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    const [ownerId, ...others] = owners
    const received: TokenEvent[] = []
    if (ownerId === undefined || ownerId === this._ctx.identity.id) return yield * this._continueLocally(req, record, received, signal)
    record.decide(RequestEvent.Forward, 'owner of the key', this._ctx.clock.nowMs(), ownerId)
    try {
      for await (const token of this._remote.read(ownerId, req, signal)) {
        received.push(token)
        yield token
      }
      return
    } catch (err) {
      if (!(err instanceof JaymillError) || !OWNER_UNAVAILABLE_KINDS.includes(err.kind)) throw err
      record.decide(RequestEvent.Retry, err.message, this._ctx.clock.nowMs())
    }
    if (received.length === 0) yield * this._readFromOwners(others, req, record, signal)
    else yield * this._continueLocally(req, record, received, signal)
  }

  private async * _continueLocally (
    req: CompletionRequest & { budgetMs: number }, record: RequestRecord, received: readonly TokenEvent[], signal: AbortSignal
  ): AsyncGenerator<TokenEvent> {
    if (received.at(-1)?.finishReason != null) return
    if (req.lastId > 0 && received.length > 0) {
      throw new RequestError(ErrorKind.OutcomeUnknown, 'the host that ran the completion is lost; retry from the start', {
        ran: RanState.Unknown
      })
    }
    yield * this._local.read(
      resolveCompletion(this._ctx, req, record, req.budgetMs), req.lastId + received.length, signal, received
    )
  }
}
