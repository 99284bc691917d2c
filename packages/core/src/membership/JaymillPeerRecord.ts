import type { HostEntry } from '../fleet/JaymillHostList.js'
import { PeerStatus, PeerUpdate } from '../ports/peers/JaymillHeartbeatHandler.js'
import { LIVE_SNAPSHOT, nextPeerSnapshot, PeerEventKind, PeerSnapshot, statusOf } from './JaymillPeerMachine.js'

const EVENT_OF_STATUS: Readonly<Record<PeerStatus, PeerEventKind>> = {
  [PeerStatus.Live]: PeerEventKind.Alive,
  [PeerStatus.Suspect]: PeerEventKind.Overdue,
  [PeerStatus.Leaving]: PeerEventKind.Leaving,
  [PeerStatus.Gone]: PeerEventKind.Lost
}

const SEVERITY: readonly PeerStatus[] = [PeerStatus.Live, PeerStatus.Suspect, PeerStatus.Leaving, PeerStatus.Gone]

const ALIVE_STATUSES: readonly PeerStatus[] = [PeerStatus.Live, PeerStatus.Leaving]

/** State of one other host, as this host sees it. */
export class PeerRecord {
  /** Last published entry. */
  entry: HostEntry
  /** Whether the adopted list contains the host. */
  listed = true
  /** Time of the last heartbeat or update that showed the host alive, in milliseconds; `null` while it is not monitored. */
  lastAliveMs: number | null = null
  /** Time of the last heartbeat sent to the host, in milliseconds. */
  lastProbeMs = Number.NEGATIVE_INFINITY
  /** Time of the last change of status, in milliseconds. */
  changedMs: number
  private _incarnation = 0
  private _seq = 0
  private _snapshot: PeerSnapshot = LIVE_SNAPSHOT

  /**
   * @param entry - Published entry.
   * @param nowMs - Monotonic time in milliseconds.
   */
  constructor (entry: HostEntry, nowMs: number) {
    this.entry = entry
    this.changedMs = nowMs
  }

  /** Status of the host. */
  get status (): PeerStatus {
    return statusOf(this._snapshot)
  }

  /** Highest known incarnation; 0 before the first. */
  get incarnation (): number {
    return this._incarnation
  }

  /**
   * Applies an update unless it is outdated. Updates are ordered by incarnation, sequence number and severity.
   *
   * @param update - Update about the host.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether incarnation or status have changed.
   */
  apply (update: PeerUpdate, nowMs: number): boolean {
    if (!this._isNewer(update)) return false
    const before = this._snapshot
    const restarted = update.incarnation > this._incarnation
    const base = restarted ? nextPeerSnapshot(before, PeerEventKind.Restarted) : before
    this._incarnation = update.incarnation
    this._seq = update.seq
    this._snapshot = nextPeerSnapshot(base, EVENT_OF_STATUS[update.status])
    if (ALIVE_STATUSES.includes(update.status) && this.lastAliveMs !== null) this.lastAliveMs = nowMs
    const changed = restarted || this.status !== statusOf(before)
    if (changed) this.changedMs = nowMs
    return changed
  }

  /**
   * Checks whether an update reports the host as failed although it is outdated.
   *
   * @param update - Update about the host.
   * @returns Whether a newer update shows that the host is running.
   */
  refutes (update: PeerUpdate): boolean {
    return !ALIVE_STATUSES.includes(update.status) && ALIVE_STATUSES.includes(this.status) && !this._isNewer(update)
  }

  /**
   * Builds an update about the host.
   *
   * @param status - Status to report.
   * @returns Update with the highest known incarnation and sequence number.
   */
  toUpdate (status: PeerStatus): PeerUpdate {
    return { id: this.entry.id, incarnation: this._incarnation, seq: this._seq, status }
  }

  private _isNewer ({ incarnation, seq, status }: PeerUpdate): boolean {
    if (incarnation !== this._incarnation) return incarnation > this._incarnation
    if (seq !== this._seq) return seq > this._seq
    return SEVERITY.indexOf(status) > SEVERITY.indexOf(this.status)
  }
}
