import type { HostEntry } from '../fleet/JaymillHostList.js'
import { PeerStatus, PeerUpdate } from '../ports/peers/JaymillHeartbeatHandler.js'
import { LIVE_SNAPSHOT, nextPeerSnapshot, PeerEventKind, PeerSnapshot, statusOf } from './JaymillPeerMachine.js'

const EVENT_OF_STATUS: Readonly<Record<PeerStatus, PeerEventKind>> = {
  [PeerStatus.Live]: PeerEventKind.Heard,
  [PeerStatus.Suspect]: PeerEventKind.Overdue,
  [PeerStatus.Leaving]: PeerEventKind.Leaving,
  [PeerStatus.Gone]: PeerEventKind.Lost
}

const SEVERITY: readonly PeerStatus[] = [PeerStatus.Live, PeerStatus.Suspect, PeerStatus.Leaving, PeerStatus.Gone]

const PROOF_OF_LIFE: readonly PeerStatus[] = [PeerStatus.Live, PeerStatus.Leaving]

/** What this host knows of one other host. */
export class PeerRecord {
  /** Last published entry. */
  entry: HostEntry
  /** Whether the newest adopted list has the host. */
  listed = true
  /** Time of the last sign of life, heard directly or passed on, in milliseconds; `null` when none is awaited. */
  lastDirectMs: number | null = null
  /** Time of the last heartbeat sent to the host, in milliseconds. */
  lastProbeMs = Number.NEGATIVE_INFINITY
  /** Time of the last change of status, in milliseconds. */
  changedMs: number
  private _incarnation = 0
  private _seq = 0
  private _snapshot: PeerSnapshot = LIVE_SNAPSHOT

  /**
   * @param entry - Published entry.
   * @param nowMs - Time in milliseconds.
   */
  constructor (entry: HostEntry, nowMs: number) {
    this.entry = entry
    this.changedMs = nowMs
  }

  /** Status of the host. */
  get status (): PeerStatus {
    return statusOf(this._snapshot)
  }

  /** Highest incarnation heard of; 0 before the first. */
  get incarnation (): number {
    return this._incarnation
  }

  /**
   * Takes in news unless something newer is known: ordered by incarnation, sequence number and severity.
   *
   * @param update - News of the host.
   * @param nowMs - Time in milliseconds.
   * @returns Whether incarnation or status have changed.
   */
  apply (update: PeerUpdate, nowMs: number): boolean {
    if (!this._isNews(update)) return false
    const before = this._snapshot
    const restarted = update.incarnation > this._incarnation
    const base = restarted ? nextPeerSnapshot(before, PeerEventKind.Restarted) : before
    this._incarnation = update.incarnation
    this._seq = update.seq
    this._snapshot = nextPeerSnapshot(base, EVENT_OF_STATUS[update.status])
    if (PROOF_OF_LIFE.includes(update.status) && this.lastDirectMs !== null) this.lastDirectMs = nowMs
    const changed = restarted || this.status !== statusOf(before)
    if (changed) this.changedMs = nowMs
    return changed
  }

  /**
   * @param update - News of the host.
   * @returns Whether the host is accused of silence although something newer is known of it.
   */
  contradicts (update: PeerUpdate): boolean {
    return !PROOF_OF_LIFE.includes(update.status) && PROOF_OF_LIFE.includes(this.status) && !this._isNews(update)
  }

  /**
   * @param status - Status to be reported.
   * @returns News at the newest incarnation and sequence number known here.
   */
  update (status: PeerStatus): PeerUpdate {
    return { id: this.entry.id, incarnation: this._incarnation, seq: this._seq, status }
  }

  private _isNews ({ incarnation, seq, status }: PeerUpdate): boolean {
    if (incarnation !== this._incarnation) return incarnation > this._incarnation
    if (seq !== this._seq) return seq > this._seq
    return SEVERITY.indexOf(status) > SEVERITY.indexOf(this.status)
  }
}
