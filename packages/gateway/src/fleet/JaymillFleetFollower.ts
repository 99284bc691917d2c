import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock, Random } from '@jaymill/core'
import { TimeLimit } from '../endpoints/JaymillTimeLimit.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { FleetSource } from '../ports/JaymillFleetSource.js'
import {
  EXPIRE_INTERVAL_MS, FOLLOW_CHECK_INTERVAL_MS, PEER_STATE_CHECK_MS, PEER_STATE_JITTER_MS, PEER_STATE_WAIT_MS, SOURCE_OUTAGE_MS, SOURCE_BACKOFF_FIRST_MS, SOURCE_BACKOFF_MAX_MS
} from './constants.js'
import { FleetState, Origin } from './JaymillFleetState.js'
import type { SourceTiming } from './JaymillSourceTiming.js'

/** Dependencies of the follower. */
export interface FleetFollowerContext {
  readonly source: FleetSource
  readonly state: FleetState
  readonly timing: SourceTiming
  /** Whether another host may have the state already when this host starts. */
  readonly hasSeeds: boolean
  /** Whether this host has to follow the source; otherwise it gets the state from other hosts. */
  readonly shouldFollow: () => boolean
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
}

/** Follows the configuration source and applies what it publishes to the state of this host. */
export class FleetFollower {
  private readonly _context: FleetFollowerContext
  private _revision: number | undefined
  private _following = true
  private _failures = 0
  private _lastResponseMs: number
  private _requestedMs: number

  /**
   * @param context - Dependencies.
   */
  constructor (context: FleetFollowerContext) {
    this._context = context
    this._lastResponseMs = context.clock.nowMs()
    this._requestedMs = this._lastResponseMs
  }

  /** Whether this host follows the source and its last request succeeded. */
  get connected (): boolean {
    return this._following && this._failures === 0 && this._revision !== undefined
  }

  /** Time since the last response of the source, in milliseconds. */
  get sinceResponseMs (): number {
    return this._context.clock.nowMs() - this._lastResponseMs
  }

  /**
   * Follows the source until the signal aborts.
   *
   * @param signal - Stops following when it aborts.
   */
  async run (signal: AbortSignal): Promise<void> {
    const timer = setInterval(() => this._context.state.expire(), EXPIRE_INTERVAL_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    if (this._context.hasSeeds) await this._waitForPeerState(signal)
    while (!signal.aborted) {
      this._updateFollowing()
      if (this._following) await this._poll(signal)
      else await sleep(FOLLOW_CHECK_INTERVAL_MS, undefined, { signal }).catch(() => { /* The loop ends with the signal. */ })
    }
  }

  /** Waits until another host has sent its state. Hosts that start together would otherwise all read from the source. */
  private async _waitForPeerState (signal: AbortSignal): Promise<void> {
    const { state, clock, random } = this._context
    const endMs = clock.nowMs() + PEER_STATE_WAIT_MS + random.next() * PEER_STATE_JITTER_MS
    while (!signal.aborted && state.config === undefined && clock.nowMs() < endMs) {
      await sleep(PEER_STATE_CHECK_MS, undefined, { signal }).catch(() => { /* The loop ends with the signal. */ })
    }
    if (state.config !== undefined && state.directory.revision > 0) this._revision = state.directory.revision
    this._lastResponseMs = clock.nowMs()
  }

  /** Starts or stops following the source. A host that starts continues from the revision that it got from other hosts. */
  private _updateFollowing (): void {
    const { state, shouldFollow, log } = this._context
    const following = state.config === undefined || shouldFollow()
    if (following === this._following) return
    this._following = following
    this._failures = 0
    this._lastResponseMs = this._context.clock.nowMs()
    if (following && state.directory.revision > 0) this._revision = state.directory.revision
    log.stateChange(following ? 'following the source' : 'following other hosts', { revision: state.directory.revision, config: state.version })
  }

  private async _poll (signal: AbortSignal): Promise<void> {
    const { waitMs, marginMs } = this._context.timing
    const limit = new TimeLimit(signal, waitMs + marginMs)
    this._requestedMs = this._context.clock.nowMs()
    try {
      await (this._revision === undefined ? this._readSnapshot(limit.signal) : this._readChanges(this._revision, limit.signal))
    } catch (err) {
      if (signal.aborted) return
      this._recordFailure(err)
      await sleep(this._backoffMs(), undefined, { signal }).catch(() => {})
    } finally {
      limit.dispose()
    }
  }

  private async _readSnapshot (signal: AbortSignal): Promise<void> {
    const snapshot = await this._context.source.read(signal)
    this._recordSuccess()
    this._revision = snapshot.revision
    this._context.state.applySnapshot(snapshot, Origin.Source)
  }

  private async _readChanges (revision: number, signal: AbortSignal): Promise<void> {
    const { source, timing } = this._context
    const changes = await source.changes(revision, timing.waitMs, signal)
    if (changes === undefined) this._context.log.stateChange('history of the source lost', { revision, ms: this._requestMs })
    this._recordSuccess()
    this._revision = changes?.revision
    if (changes !== undefined) this._context.state.applyChanges(changes, Origin.Source)
  }

  private _recordSuccess (): void {
    const silentMs = Math.round(this.sinceResponseMs - this._context.timing.waitMs)
    const outage = this._failures > 0 && this.sinceResponseMs > SOURCE_OUTAGE_MS
    if (outage) this._context.state.sourceRecovered()
    if (this._failures > 0) this._context.log.stateChange('source answers again', { silentMs, failures: this._failures })
    this._failures = 0
    this._lastResponseMs = this._context.clock.nowMs()
  }

  /**
   * After a failure everything is read again: the source may have lost its history, and then reports it only at the end of the
   * wait for changes, while a read returns at once.
   */
  private _recordFailure (err: unknown): void {
    this._failures += 1
    this._revision = undefined
    if (this._failures === 1) this._context.log.warn('source does not answer', { reason: (err as Error).message, ms: this._requestMs })
  }

  /** Duration of the current request, in milliseconds. */
  private get _requestMs (): number {
    return Math.round(this._context.clock.nowMs() - this._requestedMs)
  }

  private _backoffMs (): number {
    const maxMs = Math.min(SOURCE_BACKOFF_MAX_MS, SOURCE_BACKOFF_FIRST_MS * 2 ** (this._failures - 1))
    return maxMs * (0.5 + this._context.random.next() / 2)
  }
}
