import { CapacityProbeLimiter, drainMs, EngineRole, type EndpointRecord } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { Reservation } from '../ports/JaymillEngineControl.js'
import { MAX_PROBES_PER_PASS, PREFILL_BACKLOG_MS } from './constants.js'
import { CapacityQueue, type CapacityOutcome } from './JaymillCapacityQueue.js'
import type { EngineReservations } from './JaymillEngineReservations.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import type { PromptProgress } from './JaymillPromptProgress.js'
import { kvTokensOf } from './JaymillPromptSize.js'

/** Engines of a service and how long they take. */
export interface EnginePools {
  /**
   * @param request - A request.
   * @param role - Role of the engines.
   * @returns The engines of its service that may be used.
   */
  readonly pool: (request: GatewayRequest, role: EngineRole) => readonly EndpointRecord[]
  /**
   * @param request - A request.
   * @param progress - Its progress.
   * @returns Decode engines that don't work on it already, best first.
   */
  readonly rankedDecoders: (request: GatewayRequest, progress: PromptProgress) => readonly EndpointRecord[]
  /**
   * @param request - A request.
   * @returns Expected time of its prefill, in milliseconds.
   */
  readonly prefillMs: (request: GatewayRequest) => number
}

/** Times that bound the wait of a request for capacity, monotonic, in milliseconds. */
export interface CapacityTimes {
  /** By when it needs capacity to meet its latency target. */
  readonly targetDeadlineMs: number
  /** By when it needs capacity to send a first event before its caller disconnects. */
  readonly callerDeadlineMs: number
  /** Whether its caller retries after a refusal, or another run of it has ended. */
  readonly isRetry: boolean
}

/** Gives requests capacity at the decode engines: one queue for each service on this host. */
export class EngineCapacity {
  private readonly _context: ForwardingContext
  private readonly _pools: EnginePools
  private readonly _reservations: EngineReservations
  private readonly _probeLimiter: CapacityProbeLimiter
  private readonly _queues = new Map<string, CapacityQueue>()

  /**
   * @param context - Components of the host.
   * @param pools - Engines of the services.
   * @param reservations - Reserves capacity at an engine.
   * @param probeLimiter - Limits requests for reservations to engines that are full.
   */
  constructor (context: ForwardingContext, pools: EnginePools, reservations: EngineReservations, probeLimiter: CapacityProbeLimiter) {
    this._context = context
    this._pools = pools
    this._reservations = reservations
    this._probeLimiter = probeLimiter
    context.reachability.onLost(service => this._queues.get(service)?.releaseAll())
    context.load.onFreed(() => this._queues.forEach(queue => queue.capacityFreed()))
  }

  /**
   * @param request - A request.
   * @returns Time until it has capacity if others wait already, in milliseconds; 0 if none does.
   */
  waitMs (request: GatewayRequest): number {
    return this._queue(request).size > 0 ? this._backlogMs(request) : 0
  }

  /**
   * Waits for capacity.
   *
   * @param request - Request that needs it.
   * @param progress - Its progress.
   * @param times - Times that bound the wait.
   * @returns The reservation, or when the caller should retry.
   */
  async acquire (request: GatewayRequest, progress: PromptProgress, times: CapacityTimes): Promise<CapacityOutcome> {
    const { id, arrivedMs, metadata, signal } = request
    return await this._queue(request).acquire({
      ...times,
      id,
      arrivedMs,
      tokens: kvTokensOf(request),
      cost: kvTokensOf(request) * (metadata.prompt?.expectedOutputTokens ?? 0),
      signal,
      reserve: async () => await this._tryReserve(request, progress)
    })
  }

  /**
   * Tries waiting requests again, because a run of the service has ended.
   *
   * @param request - Request that has ended.
   * @param endpoint - Engine that it ran at.
   */
  released (request: GatewayRequest, endpoint: EndpointRecord): void {
    this._probeLimiter.recordRelease(endpoint.id)
    this._queue(request).capacityFreed()
  }

  private async _tryReserve (request: GatewayRequest, progress: PromptProgress): Promise<Reservation | undefined> {
    const prefillMs = progress.prompt === undefined ? this._pools.prefillMs(request) : 0
    if (prefillMs > PREFILL_BACKLOG_MS) return undefined
    return await this._reservations.reserveFirst(request, this._enginesToProbe(request, progress), prefillMs)
  }

  private _queue (request: GatewayRequest): CapacityQueue {
    const service = request.service.name
    const existing = this._queues.get(service)
    if (existing !== undefined) return existing
    const queue = new CapacityQueue(this._context.clock, () => this._backlogMs(request))
    this._queues.set(service, queue)
    this._context.demand.registerWaitingTokens(service, () => queue.waitingTokens)
    return queue
  }

  /** Estimates the time until all waiting requests have capacity, in milliseconds. */
  private _backlogMs (request: GatewayRequest): number {
    const { demand, clock } = this._context
    const service = request.service.name
    const capacityTokens = this._pools.pool(request, EngineRole.Decode).length * (request.service.engine?.kvTokens ?? 0)
    const { waitingTokens, kvRate } = demand.total(service, clock.nowMs())
    return drainMs({ waitingTokens, arrivalRate: kvRate, capacityTokens, holdingTimeMs: demand.holdingTimeMs(service) })
  }

  /**
   * Returns engines whose reported load leaves enough capacity. While the work of other hosts is known late, it also returns full
   * ones that are due for a probe: an engine grants less than the load that hosts count, so a probe could overfill it.
   */
  private _enginesToProbe (request: GatewayRequest, progress: PromptProgress): readonly EndpointRecord[] {
    const { load, loadAgeMs, clock, reliability, admission } = this._context
    const kvTokens = request.service.engine?.kvTokens ?? Number.POSITIVE_INFINITY
    const nowMs = clock.nowMs()
    const ranked = this._pools.rankedDecoders(request, progress)
    const trusted = ranked.filter(({ id }) => !reliability.isSuspect(id, nowMs))
    const due = (trusted.length > 0 ? trusted : ranked).filter(record => admission.allows(record)).filter(({ id }) => {
      const hasCapacity = load.at(id).tokens + kvTokensOf(request) <= kvTokens
      return (hasCapacity || loadAgeMs() > 0) && this._probeLimiter.shouldProbe(id, hasCapacity, ranked.length, nowMs)
    })
    return due.slice(0, MAX_PROBES_PER_PASS)
  }
}
