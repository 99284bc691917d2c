import { COME_BACK_MAX_MS, COME_BACK_MIN_MS, LAST_CALL_MS } from './constants.js'

/** A request that waits for room at the engines. */
export interface Waiting {
  readonly id: string
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedMs: number
  /** Time until which it must get room to be answered on time, in milliseconds; in the past when its caller has come back. */
  readonly onTimeUntilMs: number
  /** Time until which it must get room for a first event before its caller gives up, in milliseconds. */
  readonly patientUntilMs: number
  /** KV cache that it needs, in tokens. */
  readonly tokens: number
  /** Tokens that it is expected to hold times the tokens that it is expected to generate: what it takes from others. */
  readonly cost: number
  /** Whether its caller was refused before and has come back. */
  readonly returned: boolean
}

/** Order in which waiting requests get room. */
export abstract class WaitingOrder {
  /**
   * @param waiting - Requests that wait.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The same requests, the next one first.
   */
  abstract sort<Item extends Waiting> (waiting: readonly Item[], nowMs: number): readonly Item[]
}

/** Baseline: first come, first served. In a burst, everybody waits equally long and is late. */
export class ArrivalOrder extends WaitingOrder {
  /** {@inheritDoc WaitingOrder.sort} */
  sort<Item extends Waiting> (waiting: readonly Item[]): readonly Item[] {
    return [...waiting].sort((a, b) => a.arrivedMs - b.arrivedMs)
  }
}

enum Turn {
  /** Its caller is about to give up. */
  LastCall,
  /** It can still be answered on time. */
  OnTime,
  /** It will be late whatever is done. */
  Late
}

/**
 * Answer to a burst that exceeds the engines' memory for a few seconds: requests that can still be on time come first, cheap
 * ones before dear ones so that more callers are served; those that are late anyway wait until the burst is over, but get
 * room before their callers give up.
 */
export class OnTimeFirstOrder extends WaitingOrder {
  /** {@inheritDoc WaitingOrder.sort} */
  sort<Item extends Waiting> (waiting: readonly Item[], nowMs: number): readonly Item[] {
    return waiting
      .map(item => ({ item, turn: turnOf(item, nowMs) }))
      .sort((a, b) => a.turn - b.turn || this._within(a.item, b.item, a.turn))
      .map(({ item }) => item)
  }

  private _within (a: Waiting, b: Waiting, turn: Turn): number {
    return turn === Turn.OnTime ? a.cost - b.cost : a.patientUntilMs - b.patientUntilMs
  }
}

function turnOf ({ onTimeUntilMs, patientUntilMs }: Waiting, nowMs: number): Turn {
  if (nowMs <= onTimeUntilMs) return Turn.OnTime
  return patientUntilMs - nowMs <= LAST_CALL_MS ? Turn.LastCall : Turn.Late
}

/**
 * Decides whether a late request goes on waiting. One whose caller would give up before the requests ahead have ended is
 * refused at once, so that its caller can come back when the burst is over; one that has come back before is kept.
 *
 * @param item - A waiting request.
 * @param backlogMs - Time until the requests that wait now will have got room, in milliseconds.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Time after which its caller should come back, in milliseconds, or `undefined` when it goes on waiting.
 */
export function comeBackMs (item: Waiting, backlogMs: number, nowMs: number): number | undefined {
  if (item.returned || nowMs <= item.onTimeUntilMs || nowMs + backlogMs <= item.patientUntilMs - LAST_CALL_MS) return undefined
  return comeBackAfterMs(backlogMs)
}

/**
 * @param backlogMs - Time until the requests that wait now will have got room, in milliseconds.
 * @returns Time after which a caller without room should come back, in milliseconds.
 */
export function comeBackAfterMs (backlogMs: number): number {
  return Math.min(COME_BACK_MAX_MS, Math.max(COME_BACK_MIN_MS, backlogMs))
}

/** Memory of a pool of engines and what is asked of it. */
export interface PoolBacklog {
  /** KV cache that waiting requests need, in tokens. */
  readonly waitingTokens: number
  /** KV cache that requests which arrive in a millisecond will hold, in tokens. */
  readonly arrivingRate: number
  /** KV cache of the pool, in tokens. */
  readonly capacityTokens: number
  /** Time for which a request holds KV cache, in milliseconds. */
  readonly heldMs: number
}

/**
 * @param backlog - A pool and what is asked of it.
 * @returns Time until the requests that wait now have got room while others go on arriving and may go first, in milliseconds;
 * infinite while more arrives than the pool can serve.
 */
export function drainMs ({ waitingTokens, arrivingRate, capacityTokens, heldMs }: PoolBacklog): number {
  if (waitingTokens === 0) return 0
  const left = capacityTokens - arrivingRate * heldMs
  return left <= 0 ? Number.POSITIVE_INFINITY : waitingTokens * heldMs / left
}
