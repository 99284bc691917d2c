import type { PeerUpdate } from '../ports/peers/JaymillHeartbeatHandler.js'
import { MAX_QUEUED_UPDATES, MAX_UPDATES_PER_HEARTBEAT, RETRANSMIT_FACTOR } from './JaymillMembershipConstants.js'

interface QueuedUpdate {
  readonly update: PeerUpdate
  sent: number
}

/** Queue of updates about hosts. Each update is sent a limited number of times, the least sent first. */
export class UpdateQueue {
  private readonly _queue = new Map<string, QueuedUpdate>()

  /**
   * Adds an update; it replaces the queued update about the same host.
   *
   * @param update - Update to send.
   */
  add (update: PeerUpdate): void {
    this._queue.delete(update.id)
    if (this._queue.size >= MAX_QUEUED_UPDATES) this._dropOldest()
    this._queue.set(update.id, { update, sent: 0 })
  }

  /**
   * Takes the updates for one heartbeat.
   *
   * @param hosts - Number of hosts; the number of times that an update is sent grows with its logarithm.
   * @returns At most `MAX_UPDATES_PER_HEARTBEAT` updates.
   */
  take (hosts: number): PeerUpdate[] {
    const maxTransmissions = RETRANSMIT_FACTOR * Math.ceil(Math.log2(hosts + 1))
    const selected = [...this._queue.values()].sort((a, b) => a.sent - b.sent).slice(0, MAX_UPDATES_PER_HEARTBEAT)
    selected.forEach(item => { item.sent += 1 })
    selected.filter(({ sent }) => sent >= maxTransmissions).forEach(({ update }) => this._queue.delete(update.id))
    return selected.map(({ update }) => update)
  }

  private _dropOldest (): void {
    const oldest = this._queue.keys().next().value
    if (oldest !== undefined) this._queue.delete(oldest)
  }
}
