import { MAX_OPEN_QUESTIONS } from './constants.js'
import { LeaseAnswer } from './JaymillLeaseMessages.js'

/** The latest answer of a host, dated by the sending of its question. */
export interface Evidence {
  /** Monotonic time at which the question was sent, in milliseconds. */
  readonly sentAtMs: number
  readonly answer: LeaseAnswer
}

/** Latest answers of the other hosts. Late, repeated and foreign answers change nothing. */
export class PeerEvidence {
  private readonly _incarnation: number
  private readonly _latest = new Map<string, Evidence>()
  private readonly _open = new Map<string, Map<number, number>>()

  /**
   * @param incarnation - Incarnation of this process; answers to an earlier one are dropped.
   */
  constructor (incarnation: number) {
    this._incarnation = incarnation
  }

  /**
   * Records that a question leaves.
   *
   * @param to - Host asked.
   * @param seq - Number of the question.
   * @param nowMs - Monotonic time of sending, in milliseconds.
   */
  sent (to: string, seq: number, nowMs: number): void {
    const open = this._open.get(to) ?? new Map<number, number>()
    open.set(seq, nowMs)
    ;[...open.keys()].slice(0, -MAX_OPEN_QUESTIONS).forEach(old => open.delete(old))
    this._open.set(to, open)
  }

  /**
   * @param to - Host.
   * @returns Monotonic time of the last question to it in milliseconds; `-Infinity` when there was none.
   */
  lastSentMs (to: string): number {
    return [...(this._open.get(to)?.values() ?? [])].at(-1) ?? -Infinity
  }

  /**
   * Records an answer.
   *
   * @param answer - Answer received.
   * @returns Whether it answers an open question of this process.
   */
  accept (answer: LeaseAnswer): boolean {
    const sentAtMs = this._open.get(answer.from)?.get(answer.seq)
    if (sentAtMs === undefined || answer.incarnation !== this._incarnation) return false
    if (sentAtMs >= (this._latest.get(answer.from)?.sentAtMs ?? -Infinity)) this._latest.set(answer.from, { sentAtMs, answer })
    return true
  }

  /**
   * @param host - Host.
   * @returns Its latest answer, or `undefined`.
   */
  of (host: string): Evidence | undefined {
    return this._latest.get(host)
  }

  /**
   * Forgets hosts that are in no list any more.
   *
   * @param keep - Hosts that are still listed.
   */
  retain (keep: ReadonlySet<string>): void {
    ;[this._latest, this._open].forEach(map => [...map.keys()].filter(id => !keep.has(id)).forEach(id => map.delete(id)))
  }
}
