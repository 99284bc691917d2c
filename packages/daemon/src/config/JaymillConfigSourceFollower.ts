import { Clock, ConfigSource, DocumentKey, HostList, planSourceWatch } from '@jaymill/core'
import { BACKUP_READ_TIMEOUT_MS, SOURCE_WATCH_STEP_MS } from './constants.js'
import type { PublishedDocuments } from './JaymillPublishedDocuments.js'

const DOCUMENT_KEYS = Object.values(DocumentKey)

/** Components that a configuration source follower uses. */
export interface ConfigSourceFollowerOptions {
  readonly hostId: string
  readonly source: ConfigSource
  readonly documents: PublishedDocuments
  readonly clock: Clock
  /** Whether another host is considered to be running. */
  readonly isReachable: (hostId: string) => boolean
}

/** Watches the configuration source while this host is one of its zone's watchers; otherwise reads it at long intervals. */
export class ConfigSourceFollower {
  private readonly _options: ConfigSourceFollowerOptions
  private _watch: AbortController | undefined
  private _lastReadMs: number

  /**
   * @param options - Components of the host.
   */
  constructor (options: ConfigSourceFollowerOptions) {
    this._options = options
    this._lastReadMs = options.clock.nowMs()
  }

  /** Whether this host is watching the configuration source. */
  get watches (): boolean {
    return this._watch !== undefined
  }

  /**
   * Runs until the signal aborts.
   *
   * @param signal - Stops the timer and cancels all reads.
   */
  start (signal: AbortSignal): void {
    const timer = setInterval(() => this._step(signal), SOURCE_WATCH_STEP_MS)
    signal.addEventListener('abort', () => clearInterval(timer), { once: true })
    this._step(signal)
  }

  private _step (signal: AbortSignal): void {
    const { hostId, documents, isReachable, clock } = this._options
    const list: HostList | undefined = documents.list
    const { watches, backupReadMs } = planSourceWatch(hostId, list?.hosts ?? [], isReachable)
    if (watches) return this._startWatch(signal)
    this._stopWatch()
    if (clock.nowMs() - this._lastReadMs >= backupReadMs) this._readOnce(signal)
  }

  private _startWatch (signal: AbortSignal): void {
    if (this._watch !== undefined) return
    const watch = new AbortController()
    this._watch = watch
    DOCUMENT_KEYS.forEach(key => { this._follow(key, AbortSignal.any([signal, watch.signal])).catch(() => this._stopWatch()) })
  }

  private _stopWatch (): void {
    this._watch?.abort()
    this._watch = undefined
  }

  private _readOnce (signal: AbortSignal): void {
    this._lastReadMs = this._options.clock.nowMs()
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(BACKUP_READ_TIMEOUT_MS)])
    DOCUMENT_KEYS.forEach(key => { this._readFirst(key, timeoutSignal).catch(() => undefined) })
  }

  private async _follow (key: DocumentKey, signal: AbortSignal): Promise<void> {
    const { source, documents } = this._options
    for await (const { text } of source.watch(key, signal)) {
      this._lastReadMs = this._options.clock.nowMs()
      documents.offerText(key, text)
    }
  }

  private async _readFirst (key: DocumentKey, timeoutSignal: AbortSignal): Promise<void> {
    const done = new AbortController()
    for await (const { text } of this._options.source.watch(key, AbortSignal.any([timeoutSignal, done.signal]))) {
      this._options.documents.offerText(key, text)
      done.abort()
    }
  }
}
