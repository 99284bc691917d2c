import { DEADLINE_PRIORITY_MS, RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS } from './constants.js'

/** How a request yields to others of its service while there is too little room. */
export interface Urgency {
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number
  /** Place in the order of ranks and accounts; 0 goes first. */
  readonly position: number
  /** Whether its last chance counts as most urgent. */
  readonly isProtected: boolean
  /** Whether its caller was refused before and has waited before it came back. */
  readonly hasWaited: boolean
  /** Name of its client account, if it has one. */
  readonly account?: string
}

/** Request that waits for free capacity at the engines. */
export interface WaitingRequest {
  readonly id: string
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedMs: number
  /** Monotonic time by which it needs capacity to meet its latency target, in milliseconds; in the past for a caller's retry. */
  readonly targetDeadlineMs: number
  /** Monotonic time by which it needs capacity to send a first event before its caller disconnects, in milliseconds. */
  readonly callerDeadlineMs: number
  /** KV cache that it needs, in tokens. */
  readonly tokens: number
  /** Expected KV cache tokens times expected generated tokens, as a measure of the capacity that it takes from others. */
  readonly cost: number
  /** Whether its caller retries after a refusal. */
  readonly isRetry: boolean
  /** Absent where all requests of the service have the same rank. */
  readonly urgency?: Urgency
}

/** Order in which waiting requests get capacity. */
export abstract class QueueOrder {
  /**
   * Sorts requests by priority.
   *
   * @param waiting - Waiting requests.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The same requests, highest priority first.
   */
  abstract sort<Item extends WaitingRequest> (waiting: readonly Item[], nowMs: number): readonly Item[]
}

/** Baseline: first in, first out. In a burst all requests wait equally long and all miss their target. */
export class FifoOrder extends QueueOrder {
  /** {@inheritDoc QueueOrder.sort} */
  sort<Item extends WaitingRequest> (waiting: readonly Item[]): readonly Item[] {
    return [...waiting].sort((a, b) => a.arrivedMs - b.arrivedMs)
  }
}

enum PriorityClass {
  /** The retry of a caller that is about to disconnect for good. */
  LastChance,
  /** It can still meet its latency target. */
  WithinTarget,
  /** It has missed its latency target. */
  Late
}

/**
 * Serves as many requests as possible within their latency target while a burst exceeds the engines' memory for a few seconds.
 * Requests that can still meet their target come first, low-cost before expensive ones. Late requests wait until the burst is
 * over: giving them capacity first would make those late that arrive after them, and the queue would not recover from a burst.
 * A caller that is refused comes back once; a retry gets capacity before its caller disconnects, since that is its last chance.
 */
export class LatencyTargetOrder extends QueueOrder {
  /** {@inheritDoc QueueOrder.sort} */
  sort<Item extends WaitingRequest> (waiting: readonly Item[], nowMs: number): readonly Item[] {
    return waiting
      .map(item => ({ item, priorityClass: priorityClassOf(item, nowMs) }))
      .sort((a, b) => a.priorityClass - b.priorityClass || this._compareWithinClass(a.item, b.item, a.priorityClass))
      .map(({ item }) => item)
  }

  private _compareWithinClass (a: WaitingRequest, b: WaitingRequest, priorityClass: PriorityClass): number {
    return priorityClass === PriorityClass.WithinTarget ? a.cost - b.cost : a.callerDeadlineMs - b.callerDeadlineMs
  }
}

function priorityClassOf ({ targetDeadlineMs, callerDeadlineMs, isRetry }: WaitingRequest, nowMs: number): PriorityClass {
  if (nowMs <= targetDeadlineMs) return PriorityClass.WithinTarget
  return isRetry && callerDeadlineMs - nowMs <= DEADLINE_PRIORITY_MS ? PriorityClass.LastChance : PriorityClass.Late
}

/**
 * Decides whether a late request is refused. A request whose caller would disconnect before the backlog is served is refused at
 * once, so that its caller can retry after the burst. A retry keeps waiting.
 *
 * @param item - A waiting request.
 * @param backlogMs - Expected time until the current backlog has capacity, in milliseconds.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Time after which the caller should retry, in milliseconds, or `undefined` if the request keeps waiting.
 */
export function refusalRetryAfterMs (item: WaitingRequest, backlogMs: number, nowMs: number): number | undefined {
  if (
    item.isRetry || nowMs <= item.targetDeadlineMs || nowMs + backlogMs <= item.callerDeadlineMs - DEADLINE_PRIORITY_MS
  ) return undefined
  return backlogRetryAfterMs(backlogMs)
}

/**
 * @param backlogMs - Expected time until the current backlog has capacity, in milliseconds.
 * @returns Time after which a refused caller should retry, in milliseconds.
 */
export function backlogRetryAfterMs (backlogMs: number): number {
  return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, backlogMs))
}

/** KV cache capacity of a pool of engines and the demand for it. */
export interface PoolBacklog {
  /** KV cache that queued requests need, in tokens. */
  readonly waitingTokens: number
  /** Arrival rate of the KV cache tokens that requests will hold, per millisecond. */
  readonly arrivalRate: number
  /** KV cache capacity of the pool, in tokens. */
  readonly capacityTokens: number
  /** Time for which a request holds KV cache, in milliseconds. */
  readonly holdingTimeMs: number
}

/**
 * Estimates the time to serve the backlog while new requests keep arriving and may go first.
 *
 * @param backlog - Capacity and demand of a pool.
 * @returns Time until all queued requests have capacity, in milliseconds; infinite while the arrival rate exceeds the capacity.
 */
export function drainMs ({ waitingTokens, arrivalRate, capacityTokens, holdingTimeMs }: PoolBacklog): number {
  if (waitingTokens === 0) return 0
  const freeTokens = capacityTokens - arrivalRate * holdingTimeMs
  return freeTokens <= 0 ? Number.POSITIVE_INFINITY : waitingTokens * holdingTimeMs / freeTokens
}
