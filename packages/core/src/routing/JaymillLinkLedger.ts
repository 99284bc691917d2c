import { MAX_LINK_LAG_MS } from './JaymillRoutingConstants.js'

interface Transfer {
  readonly id: string
  readonly startMs: number
  readonly bytes: number
}

interface LinkFold {
  readonly freeAtMs: number
  readonly worstLagMs: number
}

const MS_PER_SECOND = 1_000

/** Book of the transfers on a share of a pool's KV link. */
export class LinkLedger {
  private readonly _bytesPerMs: number
  private readonly _maxLagMs: number
  private _transfers: readonly Transfer[] = []

  /**
   * @param bytesPerSecond - Rate that this ledger may book; 0 when there is no limit.
   * @param maxLagMs - Longest lag of a transfer behind its start, in milliseconds.
   */
  constructor (bytesPerSecond: number, maxLagMs: number = MAX_LINK_LAG_MS) {
    this._bytesPerMs = bytesPerSecond / MS_PER_SECOND
    this._maxLagMs = maxLagMs
  }

  /**
   * Books a transfer unless it, or one booked before, would lag too much.
   *
   * @param id - Id for the release.
   * @param bytes - Size of the transfer.
   * @param startMs - Monotonic time at which the prefill ends, in milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the transfer was booked.
   */
  book (id: string, bytes: number, startMs: number, nowMs: number): boolean {
    if (this._bytesPerMs === 0 || bytes === 0) return true
    this._prune(nowMs)
    const next = [...this._transfers, { id, startMs, bytes }].sort((a, b) => a.startMs - b.startMs)
    if (this._fold(next).worstLagMs > this._maxLagMs) return false
    this._transfers = next
    return true
  }

  /**
   * Gives a booked transfer back; safe to call twice.
   *
   * @param id - Id given to `book`.
   */
  release (id: string): void {
    this._transfers = this._transfers.filter(transfer => transfer.id !== id)
  }

  private _fold (transfers: readonly Transfer[]): LinkFold {
    return transfers.reduce<LinkFold>((link, transfer) => {
      const startMs = Math.max(link.freeAtMs, transfer.startMs)
      return {
        freeAtMs: startMs + transfer.bytes / this._bytesPerMs,
        worstLagMs: Math.max(link.worstLagMs, startMs - transfer.startMs)
      }
    }, { freeAtMs: 0, worstLagMs: 0 })
  }

  private _prune (nowMs: number): void {
    if (this._fold(this._transfers).freeAtMs <= nowMs) this._transfers = []
  }
}
