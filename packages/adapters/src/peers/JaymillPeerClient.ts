import {
  DocumentQuestion, ReservationResponse, GrantMarks, GrantQuestion, Heartbeat, HighWaterAnswer, HighWaterQuestion, LeaseAnswer,
  LeaseQuestion, PublishedDocument, TokenLease, TokenQuestion
} from '@jaymill/core'
import { createTRPCClient, httpLink } from '@trpc/client'
import type { Dispatcher } from 'undici'
import type { z } from 'zod'
import type { ByteCounts } from './JaymillByteCounter.js'
import { CALL_TIMEOUT_MS, FORWARD_PATH, TRPC_PATH } from './JaymillPeerConstants.js'
import { toPeerError } from './JaymillPeerFailure.js'
import type { PeerTls } from './JaymillPeerTls.js'
import { createPeerTransport, PeerTransport } from './JaymillPeerTransport.js'
import { highWaterAnswerSchema, publishedDocumentSchema } from './routers/JaymillConfigRouter.js'
import { grantAnswerSchema, tokenLeaseSchema } from './routers/JaymillGrantRouter.js'
import { heartbeatSchema } from './routers/JaymillHeartbeatRouter.js'
import { leaseAnswerSchema } from './routers/JaymillLeaseRouter.js'
import type { PeerRouter } from './routers/JaymillPeerRouter.js'

/** What a peer client needs. */
export interface PeerClientOptions {
  /** Base URL of the peer, with an IP number. */
  readonly url: string
  readonly token: string
  /** Turns on mutual TLS. */
  readonly tls?: PeerTls
  /** Time for a typed call, in milliseconds. */
  readonly timeoutMs?: number
}

/** Streamed request to be forwarded to the peer. */
export interface ForwardRequest {
  /** Path and query after `/forward/`, without a leading slash. */
  readonly path: string
  readonly method: Dispatcher.HttpMethod
  readonly headers: Readonly<Record<string, string>>
  readonly body: Dispatcher.DispatchOptions['body']
}

type Trpc = ReturnType<typeof createTRPCClient<PeerRouter>>

/** Calls to one other host. Every call fails with a `RequestError`; kind `PeerFailed` unless the peer named one. */
export class PeerClient {
  private readonly _trpc: Trpc
  private readonly _transport: PeerTransport
  private readonly _options: PeerClientOptions

  /**
   * @param options - Address and credentials.
   * @param transport - Connections to the peer.
   */
  constructor (options: PeerClientOptions, transport: PeerTransport) {
    this._options = options
    this._transport = transport
    this._trpc = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: new URL(TRPC_PATH, options.url).href,
        headers: { authorization: `Bearer ${options.token}` },
        fetch: transport.fetch
      })]
    })
  }

  /**
   * @param beat - Own heartbeat.
   * @param signal - Gives up.
   * @returns The peer's heartbeat.
   */
  async heartbeat (beat: Heartbeat, signal: AbortSignal): Promise<Heartbeat> {
    return await this._call(heartbeatSchema, signal, opts => this._trpc.heartbeat.beat.mutate(beat, opts))
  }

  /**
   * @param question - Lease question.
   * @param signal - Gives up.
   * @returns The peer's answer.
   */
  async confirmLease (question: LeaseQuestion, signal: AbortSignal): Promise<LeaseAnswer> {
    return await this._call(leaseAnswerSchema, signal, opts => this._trpc.lease.confirm.mutate(question, opts))
  }

  /**
   * @param question - Question for capacity.
   * @param signal - Gives up.
   * @returns The owner's answer.
   */
  async grant (question: GrantQuestion, signal: AbortSignal): Promise<ReservationResponse> {
    return await this._call(grantAnswerSchema, signal, opts => this._trpc.grants.grant.mutate(question, opts))
  }

  /**
   * @param marks - Grants still in use.
   * @param signal - Gives up.
   */
  async renewGrants (marks: GrantMarks, signal: AbortSignal): Promise<void> {
    await this._attempt(signal, opts => this._trpc.grants.renew.mutate(marks, opts))
  }

  /**
   * @param marks - Grants to be given back.
   * @param signal - Gives up.
   */
  async releaseGrants (marks: GrantMarks, signal: AbortSignal): Promise<void> {
    await this._attempt(signal, opts => this._trpc.grants.release.mutate(marks, opts))
  }

  /**
   * @param question - Account and tokens.
   * @param signal - Gives up.
   * @returns The lease.
   */
  async leaseTokens (question: TokenQuestion, signal: AbortSignal): Promise<TokenLease> {
    return await this._call(tokenLeaseSchema, signal, opts => this._trpc.grants.lease.mutate(question, opts))
  }

  /**
   * @param question - Who asks.
   * @param signal - Gives up.
   * @returns Marks of the documents in force on the peer.
   */
  async highWater (question: HighWaterQuestion, signal: AbortSignal): Promise<HighWaterAnswer> {
    return await this._call(highWaterAnswerSchema, signal, opts => this._trpc.config.highWater.mutate(question, opts))
  }

  /**
   * @param question - Document that is wanted.
   * @param signal - Gives up.
   * @returns The document, or `null` when the peer's is older than wanted.
   */
  async document (question: DocumentQuestion, signal: AbortSignal): Promise<PublishedDocument | null> {
    return await this._call(publishedDocumentSchema, signal, opts => this._trpc.config.document.mutate(question, opts))
  }

  /**
   * Forwards a streamed request; bodies flow in both directions with backpressure.
   *
   * @param req - What to forward.
   * @param signal - Cancels both directions.
   * @returns Status, headers and body stream of the peer's answer.
   */
  async forward (req: ForwardRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const headers = { ...req.headers, authorization: `Bearer ${this._options.token}` }
    const call = { ...req, path: FORWARD_PATH + req.path, headers, signal }
    return await this._transport.forward(call).catch((err: unknown) => { throw toPeerError(err) })
  }

  /**
   * @returns Bytes over all connections so far.
   */
  byteCounts (): ByteCounts {
    return this._transport.byteCounts()
  }

  private async _call<T> (
    schema: z.ZodType<T>, signal: AbortSignal, send: (opts: { signal: AbortSignal }) => Promise<unknown>
  ): Promise<T> {
    return await this._attempt(signal, async opts => schema.parse(await send(opts)))
  }

  private async _attempt<T> (signal: AbortSignal, send: (opts: { signal: AbortSignal }) => Promise<T>): Promise<T> {
    const timeout = AbortSignal.timeout(this._options.timeoutMs ?? CALL_TIMEOUT_MS)
    return await send({ signal: AbortSignal.any([signal, timeout]) }).catch((err: unknown) => { throw toPeerError(err) })
  }
}

/**
 * Opens a client for one peer; connections are made on first use and kept.
 *
 * @param options - Address and credentials.
 * @param signal - Closes all connections.
 * @returns The client.
 */
export function createPeerClient (options: PeerClientOptions, signal: AbortSignal): PeerClient {
  return new PeerClient(options, createPeerTransport(options, signal))
}
