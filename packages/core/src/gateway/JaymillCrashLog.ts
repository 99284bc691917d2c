import { MAX_STORED_CRASHES, QUARANTINE_TTL_MS } from './constants.js'
import { compareKeys, CrashEvidence, hasAllRuns, mergeCrashEvidence } from './JaymillCrashEvidence.js'

/** What adding a crash has changed. */
export interface CrashLogChange {
  /** Whether the crash or one of its runs was unknown and is kept. */
  readonly isNew: boolean
  /** Whether it happened earlier than was known. */
  readonly isEarlier: boolean
}

/** Recent crashes of endpoints: bounded, expiring state. */
export class CrashLog {
  private readonly _crashes = new Map<string, CrashEvidence>()
  private _earliestMs = Number.POSITIVE_INFINITY

  /** Number of crashes, including expired ones that have not been removed yet. */
  get size (): number {
    return this._crashes.size
  }

  /**
   * @returns The crashes, the newest first.
   */
  list (): readonly CrashEvidence[] {
    return [...this._crashes.values()].sort((a, b) => b.atMs - a.atMs || compareKeys(a.id, b.id))
  }

  /**
   * Adds a crash, or what is new about a known one. The newest `MAX_STORED_CRASHES` crashes are kept.
   *
   * @param crash - Evidence of the crash.
   * @returns What has changed.
   */
  add (crash: CrashEvidence): CrashLogChange {
    const known = this._crashes.get(crash.id)
    const merged = known === undefined ? crash : mergeCrashEvidence(known, crash)
    this._crashes.set(crash.id, merged)
    this._removeOldest()
    this._updateEarliest()
    const isNew = this._crashes.has(crash.id) && (known === undefined || !hasAllRuns(known, merged))
    return { isNew, isEarlier: known !== undefined && merged.atMs < known.atMs }
  }

  /**
   * Removes expired crashes.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether any were removed.
   */
  expire (nowMs: number): boolean {
    if (nowMs - this._earliestMs < QUARANTINE_TTL_MS) return false
    if (this._crashes.size === 0) return false
    const expired = [...this._crashes.values()].filter(({ atMs }) => nowMs - atMs >= QUARANTINE_TTL_MS)
    expired.forEach(({ id }) => this._crashes.delete(id))
    this._updateEarliest()
    return expired.length > 0
  }

  private _removeOldest (): void {
    this.list().slice(MAX_STORED_CRASHES).forEach(({ id }) => this._crashes.delete(id))
  }

  private _updateEarliest (): void {
    this._earliestMs = Math.min(...[...this._crashes.values()].map(({ atMs }) => atMs))
  }
}
