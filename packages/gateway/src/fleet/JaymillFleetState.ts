import { AccountTable, Clock, EndpointDirectory, epochOf, revisionInEpoch, RouteTable, wasRestored, type DirectoryChange, type EndpointChange, type GatewayConfig } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { FleetChanges, FleetSnapshot } from '../ports/JaymillFleetSource.js'
import type { ChangeBatch } from '../peers/JaymillHostMessage.js'
import { MAX_STORED_CHANGES, RECENT_CHANGES_MS } from './constants.js'

/** Where a state change was read. */
export enum Origin {
  Source = 'source',
  Peer = 'peer'
}

/** Called after an endpoint was added, changed or removed. */
export type DirectoryListener = (directoryChange: DirectoryChange) => void

/** Called after a newer revision was applied. */
export type UpdateListener = (origin: Origin) => void

/** Called after a new configuration takes effect. */
export type ConfigListener = (config: GatewayConfig) => void

/** Configuration and endpoints that a host sends to another one whose state is older. */
export interface FleetDocument {
  /** Present when the configuration of the other host is older. */
  readonly config?: GatewayConfig
  /** All endpoints; absent when `changes` is present. */
  readonly endpoints?: FleetSnapshot['endpoints']
  /** Changes since the revision of the other host. */
  readonly changes?: readonly EndpointChange[]
  readonly revision: number
  /** Time for which records that expired during an outage of the source are retained, in milliseconds. */
  readonly graceMs: number
}

/** Endpoint changes of one update that this host has applied. */
interface AppliedBatch {
  readonly batch: ChangeBatch
  /** Size as JSON, in bytes. */
  readonly bytes: number
  /** Monotonic time at which they were applied, in milliseconds. */
  readonly appliedMs: number
}

/** State of another host. */
export interface PeerState {
  readonly config: number
  readonly revision: number
  /** Time for which records that expired during an outage of the source are retained, in milliseconds. */
  readonly graceMs: number
}

/** Configuration and endpoints on this host. A configuration is only replaced by one of a higher version. */
export class FleetState {
  private readonly _clock: Clock
  private readonly _log: GatewayLog
  private readonly _directory = new EndpointDirectory()
  private readonly _listeners: DirectoryListener[] = []
  private readonly _configListeners: ConfigListener[] = []
  private readonly _updateListeners: UpdateListener[] = []
  private _recentChanges: readonly AppliedBatch[] = []
  private _config: GatewayConfig | undefined
  private _table: RouteTable | undefined
  private _accounts: AccountTable | undefined

  /**
   * @param clock - Clock.
   * @param log - Log of the host.
   */
  constructor (clock: Clock, log: GatewayLog) {
    this._clock = clock
    this._log = log
  }

  /** Active configuration; `undefined` before the first. */
  get config (): GatewayConfig | undefined {
    return this._config
  }

  /** Routes of the active configuration; `undefined` before the first. */
  get table (): RouteTable | undefined {
    return this._table
  }

  /** Client accounts of the active configuration; `undefined` when it has none, so that requests need no key. */
  get accounts (): AccountTable | undefined {
    return this._accounts
  }

  /** Version of the active configuration; 0 before the first. */
  get version (): number {
    return this._config?.version ?? 0
  }

  /** Directory of the endpoints. */
  get directory (): EndpointDirectory {
    return this._directory
  }

  /**
   * Adds a listener for changes of endpoints.
   *
   * @param listener - Called after each change of an endpoint.
   * @param signal - Removes the listener when it aborts.
   */
  onDirectory (listener: DirectoryListener, signal: AbortSignal): void {
    register(this._listeners, listener, signal)
  }

  /**
   * Adds a listener for updates.
   *
   * @param listener - Called after a newer revision of the endpoints was applied.
   * @param signal - Removes the listener when it aborts.
   */
  onUpdate (listener: UpdateListener, signal: AbortSignal): void {
    register(this._updateListeners, listener, signal)
  }

  /**
   * Adds a listener for changes of the configuration.
   *
   * @param listener - Called after each change of the configuration.
   * @param signal - Removes the listener when it aborts.
   */
  onConfig (listener: ConfigListener, signal: AbortSignal): void {
    register(this._configListeners, listener, signal)
  }

  /**
   * Applies a snapshot of the whole state.
   *
   * @param snapshot - Configuration and endpoints.
   * @param origin - Where the snapshot was read.
   */
  applySnapshot ({ config, endpoints, revision }: FleetSnapshot, origin: Origin): void {
    if (config !== undefined) this._applyConfig(config, origin)
    const isNewer = revision > this._directory.revision
    if (isNewer) this._recentChanges = []
    if (wasRestored(revision, this._directory.revision)) {
      this._log.stateChange('source was restored', { epoch: epochOf(revision), revision: revisionInEpoch(revision), before: revisionInEpoch(this._directory.revision), origin })
    }
    this._notify(this._directory.applySnapshot(endpoints, revision, this._clock.nowMs()), origin)
    if (isNewer) this._updateListeners.forEach(listener => listener(origin))
  }

  /**
   * Applies changes of configuration and endpoints.
   *
   * @param changes - Changes since the last revision.
   * @param origin - Where the changes were read.
   */
  applyChanges ({ config, endpoints, revision }: FleetChanges, origin: Origin): void {
    if (config !== undefined) this._applyConfig(config, origin)
    const baseRevision = this._directory.revision
    const isNewer = revision > baseRevision
    if (isNewer) this._storeBatch({ baseRevision, changes: endpoints })
    this._notify(this._directory.apply(endpoints, revision, this._clock.nowMs()), origin)
    if (isNewer) this._updateListeners.forEach(listener => listener(origin))
  }

  /**
   * Applies a document from another host.
   *
   * @param document - Document of the other host.
   */
  applyDocument ({ config, endpoints, changes, revision, graceMs }: FleetDocument): void {
    if (graceMs > 0) this._directory.extendGrace(graceMs, this._clock.nowMs())
    const base = { ...(config === undefined ? {} : { config }), revision }
    if (endpoints !== undefined) this.applySnapshot({ ...base, endpoints }, Origin.Peer)
    else this.applyChanges({ ...base, endpoints: changes ?? [] }, Origin.Peer)
  }

  /** Records that the source is reachable again after an outage. */
  sourceRecovered (): void {
    this._directory.publisherRecovered(this._clock.nowMs())
  }

  /** Removes endpoints that were not published again after an outage. */
  expire (): void {
    this._notify(this._directory.expire(this._clock.nowMs()), Origin.Source)
  }

  /**
   * Builds the document that brings another host up to date.
   *
   * @param version - Version of the configuration of the other host; 0 without one.
   * @param revision - Revision of the endpoints of the other host; 0 without any.
   * @returns The document; `undefined` while this host has no configuration itself.
   */
  documentFor (version: number, revision: number): FleetDocument | undefined {
    if (this._config === undefined) return undefined
    const changes = this._changesAfter(revision)
    return {
      ...(this.version > version ? { config: this._config } : {}),
      ...(changes === undefined ? { endpoints: this._directory.published() } : { changes }),
      revision: this._directory.revision,
      graceMs: this._directory.graceMs(this._clock.nowMs())
    }
  }

  /**
   * Returns the newest endpoint changes, for hosts that are only a little behind.
   *
   * @param maxBytes - Maximum size as JSON, in bytes.
   * @returns The changes of recent updates, oldest first, as many of the newest ones as fit.
   */
  latestBatches (maxBytes: number): readonly ChangeBatch[] {
    const sinceMs = this._clock.nowMs() - RECENT_CHANGES_MS
    const recent = this._recentChanges.filter(({ appliedMs }) => appliedMs >= sinceMs)
    const tooOld = recent.findLastIndex((_, i) => recent.slice(i).reduce((sum, { bytes }) => sum + bytes, 0) > maxBytes)
    return recent.slice(tooOld + 1).map(({ batch }) => batch)
  }

  /**
   * Applies endpoint changes from another host, if this host has the revision that one of them applies to. A newer configuration
   * is fetched together with the endpoints instead, so that a host which goes on reading from the source at its revision does not
   * skip the configuration.
   *
   * @param batches - Latest changes of the other host.
   * @param peer - State of the other host after the changes.
   */
  applyBatches (batches: readonly ChangeBatch[], { config, revision, graceMs }: PeerState): void {
    const first = batches.findIndex(({ baseRevision }) => baseRevision === this._directory.revision)
    if (first < 0 || revision <= this._directory.revision || config > this.version) return
    this.applyDocument({ changes: batches.slice(first).flatMap(({ changes }) => changes), revision, graceMs })
  }

  /** Returns the changes since a revision; `undefined` when they are no longer stored. */
  private _changesAfter (revision: number): readonly EndpointChange[] | undefined {
    if (revision === this._directory.revision) return []
    const first = this._recentChanges.findIndex(({ batch }) => batch.baseRevision === revision)
    return first < 0 ? undefined : this._recentChanges.slice(first).flatMap(({ batch }) => batch.changes)
  }

  private _storeBatch (batch: ChangeBatch): void {
    const applied = { batch, bytes: JSON.stringify(batch).length, appliedMs: this._clock.nowMs() }
    this._recentChanges = [...this._recentChanges, applied].slice(-MAX_STORED_CHANGES)
  }

  private _applyConfig (config: GatewayConfig, origin: Origin): void {
    const before = this.version
    if (config.version <= before) return
    this._config = config
    this._table = new RouteTable(config)
    this._accounts = config.accounts === undefined ? undefined : new AccountTable(config.version, config.accounts, this._accounts)
    this._log.stateChange('configuration in force', { version: config.version, before, routes: config.routes.length, accounts: this._accounts?.size, origin })
    this._configListeners.forEach(listener => listener(config))
  }

  private _notify (directoryChanges: readonly DirectoryChange[], origin: Origin): void {
    directoryChanges.forEach(directoryChange => {
      const { id, service, address, stage } = directoryChange.record
      this._log.stateChange('endpoint changed', { endpoint: id, event: directoryChange.event, service, address, stage, revision: this._directory.revision, origin })
      this._listeners.forEach(listener => listener(directoryChange))
    })
  }
}

function register<Listener> (listeners: Listener[], listener: Listener, signal: AbortSignal): void {
  listeners.push(listener)
  signal.addEventListener('abort', () => listeners.splice(listeners.indexOf(listener), 1), { once: true })
}
