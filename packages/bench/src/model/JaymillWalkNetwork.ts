import type { LeaseRequest, LeaseResponse } from '@jaymill/core'

/** A message between two hosts of a walk. */
export interface WalkMessage {
  readonly from: string
  readonly to: string
  readonly dueMs: number
  readonly body: { readonly request: LeaseRequest } | { readonly response: LeaseResponse }
}

/** Network that randomly delays, duplicates and drops messages, and can be partitioned. */
export class WalkNetwork {
  private _pending: WalkMessage[] = []
  private _side = new Set<string>()
  private readonly _nextRandom: () => number

  /**
   * @param nextRandom - Returns random numbers in [0, 1) for the faults of each message.
   */
  constructor (nextRandom: () => number) {
    this._nextRandom = nextRandom
  }

  /**
   * Partitions the network; messages between the sides are delivered only after the partition has ended.
   *
   * @param side - Hosts on one side; empty to end the partition.
   */
  partition (side: ReadonlySet<string>): void {
    this._side = new Set(side)
  }

  /**
   * Sends a message: mostly without delay, sometimes late, twice or not at all.
   *
   * @param message - Message without its due time.
   * @param nowMs - True time in milliseconds.
   */
  send (message: Omit<WalkMessage, 'dueMs'>, nowMs: number): void {
    const draw = this._nextRandom()
    if (draw < 0.05) return
    const delayMs = draw > 0.9 ? this._nextRandom() * 4_000 : 0
    this._pending.push({ ...message, dueMs: nowMs + delayMs })
    if (draw > 0.8 && draw < 0.85) this._pending.push({ ...message, dueMs: nowMs + this._nextRandom() * 6_000 })
  }

  /**
   * Removes and returns the messages that arrive now.
   *
   * @param nowMs - True time in milliseconds.
   * @param awake - Returns whether a host can receive.
   * @returns Messages in the order of sending, regardless of their due times.
   */
  arrivals (nowMs: number, awake: (id: string) => boolean): WalkMessage[] {
    const arrives = (message: WalkMessage) => message.dueMs <= nowMs && awake(message.to) && this._connected(message)
    const arrived = this._pending.filter(arrives)
    this._pending = this._pending.filter(message => !arrived.includes(message))
    return arrived
  }

  private _connected (message: WalkMessage): boolean {
    return this._side.has(message.from) === this._side.has(message.to)
  }
}
