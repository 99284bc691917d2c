import { MAX_LINK_LAG_MS } from './JaymillRoutingConstants.js'

interface Transfer {
  readonly id: string
  readonly startMs: number
  readonly bytes: number
}

interface LinkSchedule {
  readonly freeAtMs: number
  readonly worstLagMs: number
}

const MS_PER_SECOND = 1_000

/** Record of the transfers that are reserved on a share of a pool's KV link. */
export class LinkLedger {
  private readonly _bytesPerMs: number
  private readonly _maxLagMs: number
  private _transfers: readonly Transfer[] = []

  /**
   * @param bytesPerSecond - Rate that this ledger may reserve; 0 when there is no limit.
   * @param maxLagMs - Longest lag of a transfer behind its start, in milliseconds.
   */
  constructor (bytesPerSecond: number, maxLagMs: number = MAX_LINK_LAG_MS) {
    this._bytesPerMs = bytesPerSecond / MS_PER_SECOND
    this._maxLagMs = maxLagMs
  }

  /**
   * Reserves a transfer unless it, or one reserved before, would lag too much.
   *
   * @param id - Id to release the transfer with.
   * @param bytes - Size of the transfer.
   * @param startMs - Monotonic time at which the prefill ends, in milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the transfer was reserved.
   */
  reserve (id: string, bytes: number, startMs: number, nowMs: number): boolean {
    if (this._bytesPerMs === 0 || bytes === 0) return true
    this._prune(nowMs)
    const next = [...this._transfers, { id, startMs, bytes }].sort((a, b) => a.startMs - b.startMs)
    if (this._schedule(next).worstLagMs > this._maxLagMs) return false
    this._transfers = next
    return true
  }

  /**
   * Releases a reserved transfer; safe to call twice.
   *
   * @param id - Id given to `reserve`.
   */
  release (id: string): void {
    this._transfers = this._transfers.filter(transfer => transfer.id !== id)
  }

  private _schedule (transfers: readonly Transfer[]): LinkSchedule {
    return transfers.reduce<LinkSchedule>((link, transfer) => {
      const startMs = Math.max(link.freeAtMs, transfer.startMs)
      return {
        freeAtMs: startMs + transfer.bytes / this._bytesPerMs,
        worstLagMs: Math.max(link.worstLagMs, startMs - transfer.startMs)
      }
    }, { freeAtMs: 0, worstLagMs: 0 })
  }

  private _prune (nowMs: number): void {
    if (this._schedule(this._transfers).freeAtMs <= nowMs) this._transfers = []
  }
}
