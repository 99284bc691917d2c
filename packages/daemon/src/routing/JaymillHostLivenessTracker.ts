import type { HostList, HostLiveness } from '@jaymill/core'
import { FIRST_MESSAGE_WAIT_MS } from './JaymillRoutingTimes.js'

interface LastMessage {
  readonly incarnation: number
  readonly atMs: number
}

/** Tracks the liveness of hosts that have reservations at this host, based on the messages that they send to it. */
export class HostLivenessTracker {
  private readonly _lastMessages = new Map<string, LastMessage>()
  private readonly _awaitedSinceMs = new Map<string, number>()

  /**
   * Records a message.
   *
   * @param hostId - Host that sent it.
   * @param incarnation - Incarnation of the sender; messages of an earlier incarnation than the last are ignored.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordMessage (hostId: string, incarnation: number, nowMs: number): void {
    const last = this._lastMessages.get(hostId)
    if (last === undefined || incarnation >= last.incarnation) this._lastMessages.set(hostId, { incarnation, atMs: nowMs })
  }

  /**
   * Returns the current liveness of hosts.
   *
   * @param list - Published host list.
   * @param reservationHosts - Hosts that have reservations here; others have no reason to send messages.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Liveness of the listed hosts and of all hosts that sent a message.
   */
  snapshot (list: HostList, reservationHosts: ReadonlySet<string>, nowMs: number): readonly HostLiveness[] {
    const listed = new Set(list.hosts.map(({ id }) => id))
    return [...new Set([...listed, ...this._lastMessages.keys()])].map(id => {
      const last = this._lastMessages.get(id)
      const sinceLastMessageMs = reservationHosts.has(id) ? this._sinceLastMessageMs(id, nowMs) : 0
      return { id, incarnation: last?.incarnation ?? null, listed: listed.has(id), sinceLastMessageMs }
    })
  }

  private _sinceLastMessageMs (id: string, nowMs: number): number {
    const last = this._lastMessages.get(id)
    if (last !== undefined) return nowMs - last.atMs
    const sinceMs = this._awaitedSinceMs.get(id) ?? nowMs
    this._awaitedSinceMs.set(id, sinceMs)
    return Math.max(0, nowMs - sinceMs - FIRST_MESSAGE_WAIT_MS)
  }
}
