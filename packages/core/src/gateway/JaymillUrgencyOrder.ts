import { DEADLINE_PRIORITY_MS } from './constants.js'
import { QueueOrder, type WaitingRequest } from './JaymillQueueOrder.js'

enum UrgencyClass {
  /** The retry of a caller that is about to disconnect for good. */
  LastChance,
  /** It can still meet its latency target. */
  WithinTarget,
  /** It has missed its latency target, and its caller is about to disconnect. */
  Ending,
  /** It has missed its latency target, and its caller still waits. */
  Late
}

interface Ranked<Item> {
  readonly item: Item
  /** Compared from the first number to the last one; the lower goes first. */
  readonly key: readonly number[]
}

/**
 * Serves requests of different ranks while there is too little room. First come those for which the moment counts: they can still
 * meet their latency target, or their callers are about to disconnect. Among them the more urgent come first, then those of accounts
 * that have had no more than their part, then as in `LatencyTargetOrder`. Late requests whose callers wait longer lose nothing by
 * waiting and come last, also when they are urgent, but before their callers disconnect; those whose callers have come back go first.
 * A part of the callers that have come back is protected: their last chance counts as most urgent, so that no rank gets nothing.
 */
export class UrgencyOrder extends QueueOrder {
  /** {@inheritDoc QueueOrder.sort} */
  sort<Item extends WaitingRequest> (waiting: readonly Item[], nowMs: number): readonly Item[] {
    return waiting
      .map((item): Ranked<Item> => ({ item, key: keyOf(item, nowMs) }))
      .sort((a, b) => compareKeys(a.key, b.key))
      .map(({ item }) => item)
  }
}

function keyOf (item: WaitingRequest, nowMs: number): readonly number[] {
  const urgencyClass = classOf(item, nowMs)
  const position = item.urgency?.position ?? 0
  switch (urgencyClass) {
    case UrgencyClass.LastChance: return [0, item.urgency?.isProtected === true ? 0 : position, urgencyClass, item.callerDeadlineMs]
    case UrgencyClass.WithinTarget: return [0, position, urgencyClass, item.cost]
    case UrgencyClass.Ending: return [0, position, urgencyClass, item.callerDeadlineMs]
    case UrgencyClass.Late: return [1, position, Number(item.urgency?.hasWaited !== true), item.callerDeadlineMs]
  }
}

function classOf ({ targetDeadlineMs, callerDeadlineMs, isRetry }: WaitingRequest, nowMs: number): UrgencyClass {
  if (nowMs <= targetDeadlineMs) return UrgencyClass.WithinTarget
  if (callerDeadlineMs - nowMs > DEADLINE_PRIORITY_MS) return UrgencyClass.Late
  return isRetry ? UrgencyClass.LastChance : UrgencyClass.Ending
}

function compareKeys (a: readonly number[], b: readonly number[]): number {
  return a.map((value, i) => value - (b[i] ?? 0)).find(difference => difference !== 0) ?? 0
}
