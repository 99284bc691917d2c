import type { PeerUpdate } from '../ports/peers/JaymillHeartbeatHandler.js'
import { MAX_QUEUED_UPDATES, MAX_UPDATES_PER_BEAT, UPDATE_ROUNDS } from './JaymillMembershipConstants.js'

interface QueuedUpdate {
  readonly update: PeerUpdate
  sent: number
}

/** News of hosts that is passed on a few times each, the least sent first. */
export class UpdateQueue {
  private readonly _queue = new Map<string, QueuedUpdate>()

  /**
   * Adds news; it replaces older news of the same host.
   *
   * @param update - News.
   */
  add (update: PeerUpdate): void {
    this._queue.delete(update.id)
    if (this._queue.size >= MAX_QUEUED_UPDATES) this._dropOldest()
    this._queue.set(update.id, { update, sent: 0 })
  }

  /**
   * Takes the news of one heartbeat.
   *
   * @param hosts - Number of hosts, which sets how often each piece of news is passed on.
   * @returns At most `MAX_UPDATES_PER_BEAT` updates.
   */
  take (hosts: number): PeerUpdate[] {
    const rounds = UPDATE_ROUNDS * Math.ceil(Math.log2(hosts + 1))
    const chosen = [...this._queue.values()].sort((a, b) => a.sent - b.sent).slice(0, MAX_UPDATES_PER_BEAT)
    chosen.forEach(item => { item.sent += 1 })
    chosen.filter(({ sent }) => sent >= rounds).forEach(({ update }) => this._queue.delete(update.id))
    return chosen.map(({ update }) => update)
  }

  private _dropOldest (): void {
    const oldest = this._queue.keys().next().value
    if (oldest !== undefined) this._queue.delete(oldest)
  }
}
