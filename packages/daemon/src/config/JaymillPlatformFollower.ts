import { Clock, HostList, PlatformKey, PlatformReader, watchDuty } from '@jaymill/core'
import { BACKUP_READ_TIMEOUT_MS, DUTY_STEP_MS } from './constants.js'
import type { PublishedDocuments } from './JaymillPublishedDocuments.js'

const KEYS = Object.values(PlatformKey)

/** What a platform follower works with. */
export interface PlatformFollowerOptions {
  readonly hostId: string
  readonly reader: PlatformReader
  readonly documents: PublishedDocuments
  readonly clock: Clock
  /** Whether another host is believed to run. */
  readonly answers: (hostId: string) => boolean
}

/** Watches the platform while this host is one of its zone's watchers, and reads it rarely otherwise. */
export class PlatformFollower {
  private readonly _options: PlatformFollowerOptions
  private _watch: AbortController | undefined
  private _lastReadMs: number

  /**
   * @param options - Platform, documents and view of the other hosts.
   */
  constructor (options: PlatformFollowerOptions) {
    this._options = options
    this._lastReadMs = options.clock.nowMs()
  }

  /** Whether this host watches the platform now. */
  get watches (): boolean {
    return this._watch !== undefined
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Ends all reads.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), DUTY_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    this._step(signal)
  }

  private _step (signal: AbortSignal): void {
    const { hostId, documents, answers, clock } = this._options
    const list: HostList | undefined = documents.list
    const { watches, backupReadMs } = watchDuty(hostId, list?.hosts ?? [], answers)
    if (watches) return this._startWatch(signal)
    this._stopWatch()
    if (clock.nowMs() - this._lastReadMs >= backupReadMs) this._readOnce(signal)
  }

  private _startWatch (signal: AbortSignal): void {
    if (this._watch !== undefined) return
    const watch = new AbortController()
    this._watch = watch
    KEYS.forEach(key => { this._follow(key, AbortSignal.any([signal, watch.signal])).catch(() => this._stopWatch()) })
  }

  private _stopWatch (): void {
    this._watch?.abort()
    this._watch = undefined
  }

  private _readOnce (signal: AbortSignal): void {
    this._lastReadMs = this._options.clock.nowMs()
    const limit = AbortSignal.any([signal, AbortSignal.timeout(BACKUP_READ_TIMEOUT_MS)])
    KEYS.forEach(key => { this._readFirst(key, limit).catch(() => undefined) })
  }

  private async _follow (key: PlatformKey, signal: AbortSignal): Promise<void> {
    const { reader, documents } = this._options
    for await (const { text } of reader.watch(key, signal)) {
      this._lastReadMs = this._options.clock.nowMs()
      documents.offerText(key, text)
    }
  }

  private async _readFirst (key: PlatformKey, limit: AbortSignal): Promise<void> {
    const done = new AbortController()
    for await (const { text } of this._options.reader.watch(key, AbortSignal.any([limit, done.signal]))) {
      this._options.documents.offerText(key, text)
      done.abort()
    }
  }
}
