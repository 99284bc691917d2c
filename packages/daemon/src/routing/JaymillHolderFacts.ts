import type { HostLiveness, HostList } from '@jaymill/core'
import { FIRST_MESSAGE_WAIT_MS } from './JaymillRoutingTimes.js'

interface Heard {
  readonly incarnation: number
  readonly atMs: number
}

/** What this host knows of the hosts that hold grants here, from their own messages. */
export class HolderFacts {
  private readonly _heard = new Map<string, Heard>()
  private readonly _awaitedSinceMs = new Map<string, number>()

  /**
   * Notes a message.
   *
   * @param hostId - Sender.
   * @param incarnation - Its incarnation; an older one than known is ignored.
   * @param nowMs - Monotonic time in milliseconds.
   */
  note (hostId: string, incarnation: number, nowMs: number): void {
    const known = this._heard.get(hostId)
    if (known === undefined || incarnation >= known.incarnation) this._heard.set(hostId, { incarnation, atMs: nowMs })
  }

  /**
   * @param list - Published list.
   * @param holders - Hosts that hold grants here; others have no reason to send messages.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Facts of the listed hosts and of the holders.
   */
  all (list: HostList, holders: ReadonlySet<string>, nowMs: number): readonly HostLiveness[] {
    const listed = new Set(list.hosts.map(({ id }) => id))
    return [...new Set([...listed, ...this._heard.keys()])].map(id => {
      const heard = this._heard.get(id)
      const sinceLastMessageMs = holders.has(id) ? this._silentMs(id, nowMs) : 0
      return { id, incarnation: heard?.incarnation ?? null, listed: listed.has(id), sinceLastMessageMs }
    })
  }

  private _silentMs (id: string, nowMs: number): number {
    const heard = this._heard.get(id)
    if (heard !== undefined) return nowMs - heard.atMs
    const sinceMs = this._awaitedSinceMs.get(id) ?? nowMs
    this._awaitedSinceMs.set(id, sinceMs)
    return Math.max(0, nowMs - sinceMs - FIRST_MESSAGE_WAIT_MS)
  }
}
