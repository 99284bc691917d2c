import type { LeaseAnswer, LeaseQuestion } from '@jaymill/core'

/** A message between two hosts of a walk. */
export interface WalkMessage {
  readonly from: string
  readonly to: string
  readonly dueMs: number
  readonly body: { readonly question: LeaseQuestion } | { readonly answer: LeaseAnswer }
}

/** Network that delays, repeats, loses and blocks messages as a stream of numbers says. */
export class WalkNetwork {
  private _pending: WalkMessage[] = []
  private _side = new Set<string>()
  private readonly _chance: () => number

  /**
   * @param chance - Numbers in [0, 1) that decide the fate of each message.
   */
  constructor (chance: () => number) {
    this._chance = chance
  }

  /**
   * Splits the hosts; messages cross only after the split has ended.
   *
   * @param side - Hosts on one side; an empty set ends the split.
   */
  split (side: ReadonlySet<string>): void {
    this._side = new Set(side)
  }

  /**
   * Sends a message: mostly at once, at times late, twice or never.
   *
   * @param message - Message without its due time.
   * @param nowMs - True time in milliseconds.
   */
  send (message: Omit<WalkMessage, 'dueMs'>, nowMs: number): void {
    const fate = this._chance()
    if (fate < 0.05) return
    const delayMs = fate > 0.9 ? this._chance() * 4_000 : 0
    this._pending.push({ ...message, dueMs: nowMs + delayMs })
    if (fate > 0.8 && fate < 0.85) this._pending.push({ ...message, dueMs: nowMs + this._chance() * 6_000 })
  }

  /**
   * Takes the messages that arrive now.
   *
   * @param nowMs - True time in milliseconds.
   * @param awake - Tells whether a host can receive.
   * @returns Messages in random order of sending and due time.
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
