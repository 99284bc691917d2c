import { isNewerHostHeartbeat, RELAY_RETRY_MS, RELAY_TIMEOUT_MS, selectRelays, type SourceReader } from '@jaymill/core'
import { SILENT_HOST_MEMORY_MS } from './constants.js'
import type { HostMessage, ZoneHosts } from './JaymillHostMessage.js'

/** Another host, as this host knows it. */
export interface HostEntry {
  readonly address: string
  zone: string
  connected: boolean
  leaving: boolean
  /** Start of its process and number of its newest message, 0 before the first. */
  born: number
  seq: number
  /** Whether there was a sign of the host within the timeout. */
  live: boolean
  /** Monotonic time of the newest message from the host, or of the newest list that contains it, in milliseconds. */
  lastSeenMs: number
  /** Monotonic time of the newest report of its own work, in milliseconds. */
  lastReportMs: number
  /** Monotonic time of the first message to it that is not answered yet, in milliseconds. */
  unansweredSinceMs: number | undefined
}

/** The other hosts that this host knows from their messages and from the lists of others. */
export class HostTable {
  private readonly _ownAddress: string
  private readonly _entries = new Map<string, HostEntry>()

  /**
   * @param ownAddress - IP address of this host, which is never an entry.
   */
  constructor (ownAddress: string) {
    this._ownAddress = ownAddress
  }

  /** Number of entries. */
  get size (): number {
    return this._entries.size
  }

  /** All entries. */
  get entries (): readonly HostEntry[] {
    return [...this._entries.values()]
  }

  /** Entries of hosts with a recent sign of life. */
  get live (): readonly HostEntry[] {
    return this.entries.filter(({ live }) => live)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Number of hosts that may be serving requests: all but those that have been silent for long, or that have left.
   */
  possiblyServing (nowMs: number): number {
    return this.entries.filter(({ live, leaving, lastSeenMs }) => live || (!leaving && nowMs - lastSeenMs <= SILENT_HOST_MEMORY_MS)).length
  }

  /** Live hosts with their connection to the source. */
  get readers (): readonly SourceReader[] {
    return this.live.map(({ address, zone, connected }) => ({ address, zone, connected }))
  }

  /**
   * Adds a host that nothing is known of yet.
   *
   * @param address - IP address of the host.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Its entry.
   */
  add (address: string, nowMs: number): HostEntry {
    const entry = this._entries.get(address) ?? {
      address,
      zone: '',
      connected: false,
      leaving: false,
      born: 0,
      seq: 0,
      live: false,
      lastSeenMs: nowMs,
      lastReportMs: Number.NEGATIVE_INFINITY,
      unansweredSinceMs: undefined
    }
    this._entries.set(address, entry)
    return entry
  }

  /**
   * @param address - IP address of a host.
   * @returns Whether the host has an entry.
   */
  has (address: string): boolean {
    return this._entries.has(address)
  }

  /**
   * Removes a host.
   *
   * @param address - IP address of the host.
   */
  remove (address: string): void {
    this._entries.delete(address)
  }

  /**
   * Applies the head of a message to the entry of its sender.
   *
   * @param message - A message.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The entry, or `undefined` when a newer message of the sender has been received before.
   */
  receive (message: HostMessage, nowMs: number): HostEntry | undefined {
    const entry = this.add(message.from, nowMs)
    if (!isNewerHostHeartbeat(message, entry, entry.live)) return undefined
    const { born, seq, zone, connected, leaving } = message
    return Object.assign(entry, { born, seq, zone, connected, leaving, live: true, lastSeenMs: nowMs, unansweredSinceMs: undefined })
  }

  /**
   * Applies a list of hosts that a relay has heard from.
   *
   * @param hosts - Live hosts by zone.
   * @param nowMs - Monotonic time in milliseconds.
   */
  applyLists (hosts: readonly ZoneHosts[], nowMs: number): void {
    hosts.forEach(({ zone, addresses, connected }) => {
      const connectedAddresses = new Set(connected)
      addresses.filter(address => address !== this._ownAddress).forEach(address => {
        Object.assign(this.add(address, nowMs), { zone, connected: connectedAddresses.has(address), live: true, lastSeenMs: nowMs })
      })
    })
  }

  /**
   * Selects the hosts that relay the reports of a zone.
   *
   * @param zone - Availability zone.
   * @param own - This host, as a candidate for its own zone; absent when it is not one.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns IP addresses of the relays, this host's possibly among them.
   */
  relaysOf (zone: string, own: SourceReader | undefined, nowMs: number): readonly string[] {
    const candidates = this.live.filter(entry => !entry.leaving && !isUnresponsive(entry, nowMs))
    return selectRelays(zone, own === undefined ? candidates : [...candidates, own])
  }

  /**
   * Records that a message which has to be answered was sent to a host.
   *
   * @param address - IP address of the host.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordSent (address: string, nowMs: number): void {
    const entry = this._entries.get(address)
    if (entry === undefined) return
    const retry = entry.unansweredSinceMs !== undefined && nowMs - entry.unansweredSinceMs > RELAY_RETRY_MS
    if (entry.unansweredSinceMs === undefined || retry) entry.unansweredSinceMs = nowMs
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Hosts whose reports of their own work are recent.
   */
  reporters (nowMs: number): readonly HostEntry[] {
    return this.entries.filter(({ lastReportMs }) => nowMs - lastReportMs <= RELAY_TIMEOUT_MS)
  }
}

/** Whether a host has not answered for some time; after a longer time it is tried again. */
function isUnresponsive ({ unansweredSinceMs }: HostEntry, nowMs: number): boolean {
  if (unansweredSinceMs === undefined) return false
  const ms = nowMs - unansweredSinceMs
  return ms > RELAY_TIMEOUT_MS && ms <= RELAY_RETRY_MS
}
