import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock, Random } from '@jaymill/core'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { FleetSource } from '../ports/JaymillFleetSource.js'
import {
  CHANGES_WAIT_MS, EXPIRE_INTERVAL_MS, READER_CHECK_MS, SOURCE_ANSWER_MS, SOURCE_OUTAGE_MS, SOURCE_RETRY_FIRST_MS, SOURCE_RETRY_MAX_MS
} from './constants.js'
import { FleetState, Origin } from './JaymillFleetState.js'

/** What the follower works with. */
export interface FleetFollowerParts {
  readonly source: FleetSource
  readonly state: FleetState
  /** Whether this host has to follow the source; else it learns from other hosts. */
  readonly reads: () => boolean
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
}

/** Keeps the state of a host up to date from the source. */
export class FleetFollower {
  private readonly _parts: FleetFollowerParts
  private _revision: number | undefined
  private _reading = true
  private _failures = 0
  private _lastAnswerMs: number

  /**
   * @param parts - Source, state and log.
   */
  constructor (parts: FleetFollowerParts) {
    this._parts = parts
    this._lastAnswerMs = parts.clock.nowMs()
  }

  /** Whether this host follows the source and its last question was answered. */
  get connected (): boolean {
    return this._reading && this._failures === 0 && this._revision !== undefined
  }

  /** Time since the source last answered, in milliseconds. */
  get silentMs (): number {
    return this._parts.clock.nowMs() - this._lastAnswerMs
  }

  /**
   * Follows the source until the signal aborts.
   *
   * @param signal - Ends it.
   */
  async run (signal: AbortSignal): Promise<void> {
    const timer = setInterval(() => this._parts.state.expire(), EXPIRE_INTERVAL_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    while (!signal.aborted) {
      this._choose()
      if (this._reading) await this._step(signal)
      else await sleep(READER_CHECK_MS, undefined, { signal }).catch(() => { /* The loop ends with the signal. */ })
    }
  }

  /** A host that begins to read goes on from what others have told it. */
  private _choose (): void {
    const { state, reads, log } = this._parts
    const reading = state.config === undefined || reads()
    if (reading === this._reading) return
    this._reading = reading
    this._failures = 0
    this._lastAnswerMs = this._parts.clock.nowMs()
    if (reading && state.directory.revision > 0) this._revision = state.directory.revision
    log.belief(reading ? 'begins to follow the source' : 'learns from other hosts', { revision: state.directory.revision, config: state.version })
  }

  private async _step (signal: AbortSignal): Promise<void> {
    const waitMs = this._revision === undefined ? 0 : CHANGES_WAIT_MS
    const limit = new TimeLimit(signal, waitMs + SOURCE_ANSWER_MS)
    try {
      await (this._revision === undefined ? this._read(limit.signal) : this._changes(this._revision, limit.signal))
    } catch (err) {
      if (signal.aborted) return
      this._failed(err)
      await sleep(this._pauseMs(), undefined, { signal }).catch(() => {})
    } finally {
      limit.done()
    }
  }

  private async _read (signal: AbortSignal): Promise<void> {
    const snapshot = await this._parts.source.read(signal)
    this._answered()
    this._revision = snapshot.revision
    this._parts.state.adoptSnapshot(snapshot, Origin.Source)
  }

  private async _changes (revision: number, signal: AbortSignal): Promise<void> {
    const changes = await this._parts.source.changes(revision, CHANGES_WAIT_MS, signal)
    if (changes === undefined) this._parts.log.belief('history of the source lost', { revision })
    this._answered()
    this._revision = changes?.revision
    if (changes !== undefined) this._parts.state.adoptChanges(changes, Origin.Source)
  }

  private _answered (): void {
    const silentMs = Math.round(this.silentMs - CHANGES_WAIT_MS)
    const outage = this._failures > 0 && this.silentMs > SOURCE_OUTAGE_MS
    if (outage) this._parts.state.sourceReturned()
    if (this._failures > 0) this._parts.log.belief('source answers again', { silentMs, failures: this._failures })
    this._failures = 0
    this._lastAnswerMs = this._parts.clock.nowMs()
  }

  private _failed (err: unknown): void {
    this._failures += 1
    if (this._failures === 1) this._parts.log.warn('source does not answer', { reason: (err as Error).message })
  }

  private _pauseMs (): number {
    const most = Math.min(SOURCE_RETRY_MAX_MS, SOURCE_RETRY_FIRST_MS * 2 ** (this._failures - 1))
    return most * (0.5 + this._parts.random.next() / 2)
  }
}
