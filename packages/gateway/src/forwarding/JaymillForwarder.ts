import { CallOutcome, type Candidate, type EndpointRanking, type EndpointRecord, ErrorKind, ExpectedTimeRanking, isIdempotent, type Outstanding, RequestError } from '@jaymill/core'
import { RequestEnd, type GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { forwardedHeaders } from '../callers/JaymillReply.js'
import type { EndpointCall } from '../endpoints/JaymillEndpointCalls.js'
import type { CallIntent } from '../ports/JaymillWireDialect.js'
import { PLAIN_INITIAL_MS } from './constants.js'
import type { ForwardingParts } from './JaymillForwardingParts.js'

/** Serves requests of one kind. */
export abstract class Forwarder {
  protected readonly _parts: ForwardingParts
  protected readonly _ranking: EndpointRanking

  /**
   * @param parts - State of the host.
   * @param ranking - Order of endpoints.
   */
  constructor (parts: ForwardingParts, ranking: EndpointRanking = new ExpectedTimeRanking()) {
    this._parts = parts
    this._ranking = ranking
  }

  /**
   * Serves a request to its end.
   *
   * @param request - The request.
   * @throws RequestError when the host itself has to answer.
   */
  abstract forward (request: GatewayRequest): Promise<void>

  protected _call (request: GatewayRequest, endpoint: EndpointRecord, intent: Omit<CallIntent, 'deadlineMs' | 'endpointId'>): EndpointCall {
    const { dialect } = this._parts
    const { req, body } = request
    const headers = forwardedHeaders(req.rawHeaders, name => dialect.isReserved(name))
    const told = dialect.callHeaders({ ...intent, endpointId: endpoint.id, deadlineMs: this._leftMs(request) })
    return {
      endpoint,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [...headers, ...told],
      body,
      ownConnection: !isIdempotent(request.route)
    }
  }

  protected _leftMs ({ deadlineMs }: GatewayRequest): number {
    return Math.max(0, Math.floor(deadlineMs - this._parts.clock.nowMs()))
  }

  /**
   * @param request - A request.
   * @returns Time that it is likely to take at most, in milliseconds.
   */
  abstract durationMs (request: GatewayRequest): number

  /** Expected time of a request: a round for each full set of slots before it, and crowding within a round. */
  protected _expectedMs ({ id, slots }: EndpointRecord, { requests }: Outstanding, _tokens: number): number {
    const unitMs = this._parts.pace.unitMs(id, PLAIN_INITIAL_MS)
    return unitMs * (1 + Math.floor(requests / Math.max(1, slots)) + requests / Math.max(1, slots))
  }

  /** The best endpoint of a plain service that has not been tried. */
  protected _choose (request: GatewayRequest, triedIds: readonly string[]): EndpointRecord | undefined {
    const { state, zone, random } = this._parts
    const untried = state.directory.usable(request.service.name).filter(({ id }) => !triedIds.includes(id))
    return this._ranking.rank(this._candidates(untried, 0), zone, random)[0]
  }

  protected _candidates (records: readonly EndpointRecord[], tokens: number): readonly Candidate[] {
    const { load, reliability, clock } = this._parts
    const nowMs = clock.nowMs()
    return records.map(record => ({
      record,
      work: load.at(record.id),
      expectedMs: this._expectedMs(record, load.at(record.id), tokens),
      failureShare: reliability.failureShare(record.id, nowMs),
      suspect: reliability.isSuspect(record.id, nowMs)
    }))
  }

  protected _spendRetry (request: GatewayRequest): boolean {
    const { budget, hosts, clock, log } = this._parts
    const spent = budget.spend(request.service.name, hosts(), clock.nowMs())
    if (!spent) log.request(request.id, 'retry budget spent', { service: request.service.name, hosts: hosts() })
    return spent
  }

  protected _note (endpoint: EndpointRecord, outcome: CallOutcome): void {
    const { reliability, clock, log } = this._parts
    const nowMs = clock.nowMs()
    const before = reliability.isSuspect(endpoint.id, nowMs)
    reliability.note(endpoint.id, outcome, nowMs)
    const after = reliability.isSuspect(endpoint.id, nowMs)
    if (before !== after) log.belief(after ? 'endpoint suspected' : 'endpoint answers again', { endpoint: endpoint.id, outcome })
  }

  protected _trackLoad (endpoint: EndpointRecord, tokens: number, signal: AbortSignal): void {
    const { load, loadChanged } = this._parts
    load.add(endpoint.id, tokens, signal)
    loadChanged()
    signal.addEventListener('abort', loadChanged, { once: true })
  }

  protected _ended (request: GatewayRequest, mayHaveRun: boolean): RequestError {
    if (request.signal.reason === RequestEnd.CallerGone) return new RequestError(ErrorKind.CallerGone, 'the caller has gone')
    return mayHaveRun
      ? new RequestError(ErrorKind.Deadline, 'no answer in time')
      : new RequestError(ErrorKind.Overloaded, 'no endpoint had room in time', { retryAfterMs: 0 })
  }

  protected _sinceMs ({ arrivedMs }: GatewayRequest): number {
    return Math.round(this._parts.clock.nowMs() - arrivedMs)
  }
}
