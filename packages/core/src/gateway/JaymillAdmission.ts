import type { Random } from '../ports/JaymillRandom.js'
import { FULL_KV_SHARE, RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS, RETRY_SPREAD } from './constants.js'
import { backlogRetryAfterMs, drainMs, refusalRetryAfterMs, type PoolBacklog, type Urgency, type WaitingRequest } from './JaymillQueueOrder.js'

/** Why a waiting request is refused. */
export enum RefusalReason {
  /** Its caller is about to disconnect. */
  Expired = 'expired',
  /** Its caller would disconnect before its turn. */
  Backlog = 'backlog'
}

/** Refusal of a waiting request. */
export interface Refusal {
  readonly reason: RefusalReason
  /** Time after which its caller should retry, in milliseconds. */
  readonly retryAfterMs: number
}

/** Pool of engines and its demand from all hosts, as known at one moment. */
export interface PoolView extends PoolBacklog {
  /** KV cache that running requests hold, in tokens. */
  readonly usedTokens: number
  /**
   * @param position - Position of a request.
   * @returns Part of the demand that goes first or has the same position.
   */
  readonly shareUpTo: (position: number) => number
}

/** Decides which waiting requests are refused, because they can't be served in time. */
export abstract class Admission {
  /**
   * @param waiting - Waiting requests.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Those that are refused now.
   */
  abstract refusals<Item extends WaitingRequest> (waiting: readonly Item[], nowMs: number): ReadonlyMap<Item, Refusal>
}

/** Baseline: refuses late requests that the backlog of all requests keeps waiting for too long. */
export class BacklogAdmission extends Admission {
  private readonly _backlogMs: () => number

  /**
   * @param backlogMs - Returns the estimated time until the requests waiting now on all hosts have capacity, in milliseconds.
   */
  constructor (backlogMs: () => number) {
    super()
    this._backlogMs = backlogMs
  }

  /** {@inheritDoc Admission.refusals} */
  refusals<Item extends WaitingRequest> (waiting: readonly Item[], nowMs: number): ReadonlyMap<Item, Refusal> {
    const backlogMs = this._backlogMs()
    return refusalsOf(waiting, item => backlogRefusal(item, backlogMs, nowMs))
  }
}

/**
 * Refuses a late request when those that go first or beside it keep it waiting for longer than its caller waits. Requests that come
 * after it don't count, so that the most urgent are refused last. The times to retry are spread, so that callers that were refused
 * together do not return together.
 */
export class UrgencyAdmission extends Admission {
  private readonly _pool: () => PoolView
  private readonly _random: Random

  /**
   * @param pool - Returns the present state of the pool.
   * @param random - Source of randomness.
   */
  constructor (pool: () => PoolView, random: Random) {
    super()
    this._pool = pool
    this._random = random
  }

  /** {@inheritDoc Admission.refusals} */
  refusals<Item extends WaitingRequest> (waiting: readonly Item[], nowMs: number): ReadonlyMap<Item, Refusal> {
    const pool = this._pool()
    return refusalsOf(waiting, item => {
      const refusal = backlogRefusal(item, positionBacklogMs(pool, item), nowMs)
      if (refusal === undefined || item.urgency === undefined) return refusal
      return { ...refusal, retryAfterMs: this._spread(refusal.retryAfterMs) }
    })
  }

  private _spread (retryAfterMs: number): number {
    const upperMs = Math.min(RETRY_AFTER_MAX_MS, retryAfterMs * (1 + RETRY_SPREAD))
    const lowerMs = Math.max(RETRY_AFTER_MIN_MS, upperMs * (1 - RETRY_SPREAD))
    return lowerMs + this._random.next() * (upperMs - lowerMs)
  }
}

/**
 * Decides whether a request leaves room at the engines to more urgent ones of other hosts, whose queues this host does not see. It does so
 * as often as these are part of the demand: where few requests are more urgent, room that is left for them would mostly stay unused.
 *
 * @param urgency - How the request yields; `undefined` where nothing distinguishes requests.
 * @param pool - KV cache of the pool, how much of it is in use, and the parts of the demand.
 * @param random - Source of randomness.
 * @returns Whether the pool is nearly full and others go first.
 */
export function yieldsRoom (urgency: Urgency | undefined, { usedTokens, capacityTokens, shareUpTo }: Pick<PoolView, 'usedTokens' | 'capacityTokens' | 'shareUpTo'>, random: Random): boolean {
  if (urgency === undefined || urgency.position === 0 || urgency.isProtected) return false
  return usedTokens >= FULL_KV_SHARE * capacityTokens && random.next() < shareUpTo(urgency.position - 1)
}

/**
 * @param tokens - KV cache that a request needs, in tokens.
 * @param meanTokens - Mean need of the requests of its service, in tokens.
 * @param kvTokens - KV cache of an engine, in tokens.
 * @returns KV cache that has to be free at an engine for a request that yields, in tokens: an idle engine always has enough.
 */
export function yieldingRoomTokens (tokens: number, meanTokens: number, kvTokens: number): number {
  return Math.max(tokens, Math.min(kvTokens, tokens + meanTokens))
}

function positionBacklogMs (pool: PoolView, { urgency }: WaitingRequest): number {
  const share = urgency === undefined ? 1 : pool.shareUpTo(urgency.position)
  return drainMs({ ...pool, waitingTokens: pool.waitingTokens * share, arrivalRate: pool.arrivalRate * share })
}

function backlogRefusal (item: WaitingRequest, backlogMs: number, nowMs: number): Refusal | undefined {
  if (item.callerDeadlineMs < nowMs) return { reason: RefusalReason.Expired, retryAfterMs: backlogRetryAfterMs(backlogMs) }
  const retryAfterMs = refusalRetryAfterMs(item, backlogMs, nowMs)
  return retryAfterMs === undefined ? undefined : { reason: RefusalReason.Backlog, retryAfterMs }
}

function refusalsOf<Item> (waiting: readonly Item[], refusalOf: (item: Item) => Refusal | undefined): ReadonlyMap<Item, Refusal> {
  return new Map(waiting.flatMap(item => {
    const refusal = refusalOf(item)
    return refusal === undefined ? [] : [[item, refusal] as const]
  }))
}
