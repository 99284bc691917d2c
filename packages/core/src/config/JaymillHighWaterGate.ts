import { HostList, HostState } from '../fleet/JaymillHostList.js'
import type { DocumentMark } from '../ports/peers/JaymillHeartbeatHandler.js'
import type { PlatformKey } from '../ports/JaymillPlatformReader.js'
import { HIGH_WATER_CONCURRENCY, HIGH_WATER_RETRY_MS } from './JaymillConfigConstants.js'

/** Why a host may not serve yet. */
export enum GateReason {
  /** No host list is known. */
  NoHostList = 'no-host-list',
  /** Too few of the other hosts have answered. */
  TooFewAnswers = 'too-few-answers',
  /** A document that another host has is missing here. */
  Behind = 'behind',
  /** The hosts that answered have two texts for one revision. */
  Conflict = 'conflict'
}

/** Whether a host may serve. */
export interface GateState {
  readonly open: boolean
  /** Why the gate is closed. */
  readonly reason?: GateReason
  /** Answers of listed hosts so far. */
  readonly answers: number
  /** Answers that are needed. */
  readonly needed: number
}

/**
 * Keeps a fresh host, or one that was paused, from serving under an old revision: it opens after so many other listed hosts
 * have told their marks that any revision in force on a majority was among them, and once nothing newer is missing.
 * Once open it stays open until `reset`.
 */
export class HighWaterGate {
  private readonly _selfId: string
  private readonly _answers = new Map<string, readonly DocumentMark[]>()
  private readonly _askedMs = new Map<string, number>()
  private _others: readonly string[] | undefined
  private _open = false

  /**
   * @param selfId - Id of this host.
   */
  constructor (selfId: string) {
    this._selfId = selfId
  }

  /**
   * @param list - Adopted host list; hosts that are leaving are not asked.
   */
  adoptList (list: HostList): void {
    this._others = list.hosts.filter(({ id, state }) => id !== this._selfId && state === HostState.Live).map(({ id }) => id)
  }

  /**
   * Takes in an answer; it counts when its host is listed, now or after a later list.
   *
   * @param hostId - Host that answered.
   * @param marks - Its marks.
   */
  answer (hostId: string, marks: readonly DocumentMark[]): void {
    this._answers.set(hostId, marks)
  }

  /** Closes the gate and forgets all answers, after a pause of the process. */
  reset (): void {
    this._open = false
    this._answers.clear()
    this._askedMs.clear()
  }

  /**
   * @param nowMs - Time in milliseconds.
   * @returns Ids of the hosts to be asked now; empty once the gate is open.
   */
  due (nowMs: number): string[] {
    if (this._open) return []
    const waiting = (this._others ?? []).filter(id => !this._answers.has(id))
    const asked = waiting.filter(id => nowMs - this._lastAsked(id) < HIGH_WATER_RETRY_MS)
    const chosen = waiting
      .filter(id => !asked.includes(id))
      .sort((a, b) => this._lastAsked(a) - this._lastAsked(b))
      .slice(0, Math.max(0, HIGH_WATER_CONCURRENCY - asked.length))
    chosen.forEach(id => this._askedMs.set(id, nowMs))
    return chosen
  }

  /**
   * @param own - Marks of the documents in force here.
   * @param required - Documents without which the host can't serve.
   * @returns Whether the host may serve.
   */
  state (own: readonly DocumentMark[], required: readonly PlatformKey[]): GateState {
    const answered = (this._others ?? []).filter(id => this._answers.has(id))
    const needed = answersNeeded(this._others?.length ?? 0)
    const counts = { answers: answered.length, needed }
    if (this._open) return { open: true, ...counts }
    const reason = this._closedBy(answered, needed, own, required)
    this._open = reason === undefined
    return reason === undefined ? { open: true, ...counts } : { open: false, reason, ...counts }
  }

  private _closedBy (
    answered: readonly string[], needed: number, own: readonly DocumentMark[], required: readonly PlatformKey[]
  ): GateReason | undefined {
    if (this._others === undefined) return GateReason.NoHostList
    if (answered.length < needed) return GateReason.TooFewAnswers
    const heard = [...this._answers.values()].flat()
    const missing = required.some(key => own.every(mark => mark.key !== key))
    if (missing || heard.some(mark => isHigher(mark, own))) return GateReason.Behind
    return heard.some(mark => isOtherText(mark, own)) ? GateReason.Conflict : undefined
  }

  private _lastAsked (id: string): number {
    return this._askedMs.get(id) ?? Number.NEGATIVE_INFINITY
  }
}

/**
 * Answers that meet every majority of a list of `others + 1` hosts, this host's own earlier incarnation included.
 *
 * @param others - Number of other listed hosts.
 * @returns Number of answers needed.
 */
export function answersNeeded (others: number): number {
  return Math.min(others, Math.ceil((others + 1) / 2))
}

function isHigher (mark: DocumentMark, own: readonly DocumentMark[]): boolean {
  return own.every(({ key, revision }) => key !== mark.key || revision < mark.revision)
}

function isOtherText (mark: DocumentMark, own: readonly DocumentMark[]): boolean {
  return own.some(({ key, revision, digest }) => key === mark.key && revision === mark.revision && digest !== mark.digest)
}
