import {
  CapacityProbeLimiter, DemandShares, drainMs, EngineRole, isProbablyRetry, PROTECTED_SHARE, serviceRanks, UrgencyAdmission, urgencyLevel, UrgencyOrder,
  yieldingRoomTokens, yieldsRoom,
  type EndpointRecord, type PoolView, type Urgency
} from '@jaymill/core'
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

/** Queue of a service, and the parts of its demand. */
interface ServiceQueue {
  readonly queue: CapacityQueue
  readonly shares: DemandShares
}

/** Gives requests capacity at the decode engines: one queue for each service on this host. */
export class EngineCapacity {
  private readonly _context: ForwardingContext
  private readonly _pools: EnginePools
  private readonly _reservations: EngineReservations
  private readonly _probeLimiter: CapacityProbeLimiter
  private readonly _queues = new Map<string, ServiceQueue>()

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
    context.reachability.onLost(service => this._queues.get(service)?.queue.releaseAll())
    context.load.onFreed(() => this._queues.forEach(({ queue }) => queue.capacityFreed()))
  }

  /**
   * @param request - A request.
   * @returns Time until it has capacity if others wait already, in milliseconds; 0 if none does.
   */
  waitMs (request: GatewayRequest): number {
    return this._queue(request).queue.size > 0 ? this._backlogMs(request) : 0
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
    const { clock } = this._context
    const { queue } = this._queue(request)
    progress.urgency ??= this._urgency(request)
    const { urgency } = progress
    const startMs = clock.nowMs()
    const ahead = queue.size
    const outcome = await queue.acquire({
      ...times,
      ...(urgency === undefined ? {} : { urgency }),
      id,
      arrivedMs,
      tokens: kvTokensOf(request),
      cost: kvTokensOf(request) * (metadata.prompt?.expectedOutputTokens ?? 0),
      signal,
      reserve: async () => await this._tryReserve(request, progress)
    })
    this._record(request, urgency, outcome, { ahead, ms: clock.nowMs() - startMs })
    return outcome
  }

  /**
   * Tries waiting requests again, because a run of the service has ended.
   *
   * @param request - Request that has ended.
   * @param endpoint - Engine that it ran at.
   */
  released (request: GatewayRequest, endpoint: EndpointRecord): void {
    this._probeLimiter.recordRelease(endpoint.id)
    this._queue(request).queue.capacityFreed()
  }

  private async _tryReserve (request: GatewayRequest, progress: PromptProgress): Promise<Reservation | undefined> {
    const prefillMs = progress.prompt === undefined ? this._pools.prefillMs(request) : 0
    if (prefillMs > PREFILL_BACKLOG_MS) return undefined
    return await this._reservations.reserveFirst(request, this._enginesToProbe(request, progress), prefillMs)
  }

  private _record ({ id, service }: GatewayRequest, urgency: Urgency | undefined, { reservation, refusal }: CapacityOutcome, wait: { readonly ahead: number, readonly ms: number }): void {
    if (urgency === undefined) return
    const { log, metrics } = this._context
    const { rank, account, position, isProtected, hasWaited } = urgency
    const outcome = refusal?.reason ?? (reservation === undefined ? 'ended' : 'reserved')
    metrics.recordCapacityWait({ service: service.name, rank, outcome }, wait.ms)
    log.request(id, 'capacity', {
      outcome, rank, account, position, isProtected, hasWaited, ahead: wait.ahead, retryAfterMs: refusal?.retryAfterMs, ms: Math.round(wait.ms)
    })
  }

  private _queue (request: GatewayRequest): ServiceQueue {
    const service = request.service.name
    const existing = this._queues.get(service)
    if (existing !== undefined) return existing
    const { clock, random, demand } = this._context
    const shares = new DemandShares()
    const queue = new CapacityQueue(clock, new UrgencyAdmission(() => this._view(request, shares), random), new UrgencyOrder())
    this._queues.set(service, { queue, shares })
    demand.registerWaitingTokens(service, () => queue.waitingTokens)
    return { queue, shares }
  }

  /** Returns how a request yields to others; `undefined` where nothing distinguishes the requests of its service. */
  private _urgency (request: GatewayRequest): Urgency | undefined {
    const { state, random, clock } = this._context
    const { service, priority, account, route, metadata } = request
    const ranks = state.config === undefined ? [] : serviceRanks(state.config, service.name)
    const isPlaceable = kvTokensOf(request) <= (service.engine?.kvTokens ?? 0)
    if (!isPlaceable || (ranks.length <= 1 && account === undefined)) return undefined
    const hasWaited = isProbablyRetry(metadata.deadlineMs, route.timeoutMs)
    const level = urgencyLevel(ranks, { rank: priority, routeRank: route.priority })
    const ofAccount = account === undefined ? {} : { account: account.name }
    return {
      ...ofAccount,
      rank: priority,
      position: this._queue(request).shares.add({ ...ofAccount, level, tokens: kvTokensOf(request) }, clock.nowMs()),
      isProtected: hasWaited && random.next() < PROTECTED_SHARE,
      hasWaited
    }
  }

  private _view (request: GatewayRequest, shares: DemandShares): PoolView {
    const { demand, clock } = this._context
    const nowMs = clock.nowMs()
    const service = request.service.name
    const { waitingTokens, kvRate } = demand.total(service, nowMs)
    return {
      ...this._memory(request),
      waitingTokens,
      arrivalRate: kvRate,
      holdingTimeMs: demand.holdingTimeMs(service),
      shareUpTo: position => shares.upTo(position, nowMs)
    }
  }

  /** Returns the KV cache of the decode pool, and how much of it is in use by all hosts as last reported, in tokens. */
  private _memory (request: GatewayRequest): Pick<PoolView, 'capacityTokens' | 'usedTokens'> {
    const engines = this._pools.pool(request, EngineRole.Decode)
    const capacityTokens = engines.length * (request.service.engine?.kvTokens ?? 0)
    return { capacityTokens, usedTokens: engines.reduce((sum, { id }) => sum + this._context.load.at(id).tokens, 0) }
  }

  /** Estimates the time until all waiting requests have capacity, in milliseconds. */
  private _backlogMs (request: GatewayRequest): number {
    return drainMs(this._view(request, this._queue(request).shares))
  }

  /**
   * Returns engines whose reported load leaves enough capacity. While the work of other hosts is known late, it also returns full
   * ones that are due for a probe: an engine grants less than the load that hosts count, so a probe could overfill it. While the
   * pool is nearly full, less urgent requests leave the room for one more of mean size to others, as often as these ask for it.
   */
  private _enginesToProbe (request: GatewayRequest, progress: PromptProgress): readonly EndpointRecord[] {
    const { load, loadAgeMs, clock, random, reliability, admission } = this._context
    const kvTokens = request.service.engine?.kvTokens ?? Number.POSITIVE_INFINITY
    const nowMs = clock.nowMs()
    const tokens = kvTokensOf(request)
    const { shares } = this._queue(request)
    const yields = yieldsRoom(progress.urgency, { ...this._memory(request), shareUpTo: position => shares.upTo(position, nowMs) }, random)
    const neededTokens = yields ? yieldingRoomTokens(tokens, shares.meanTokens, kvTokens) : tokens
    const ranked = this._pools.rankedDecoders(request, progress)
    const trusted = ranked.filter(({ id }) => !reliability.isSuspect(id, nowMs))
    const due = (trusted.length > 0 ? trusted : ranked).filter(record => admission.allows(record)).filter(({ id }) => {
      const hasCapacity = load.at(id).tokens + neededTokens <= kvTokens
      return (hasCapacity || (loadAgeMs() > 0 && !yields)) && this._probeLimiter.shouldProbe(id, hasCapacity, ranked.length, nowMs)
    })
    return due.slice(0, MAX_PROBES_PER_PASS)
  }
}
