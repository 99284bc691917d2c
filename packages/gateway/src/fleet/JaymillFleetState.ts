import { Clock, EndpointDirectory, RouteTable, type DirectoryNote, type EndpointChange, type GatewayConfig } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { FleetChanges, FleetSnapshot } from '../ports/JaymillFleetSource.js'
import { CHANGES_KEPT } from './constants.js'

/** Where a host has learned something. */
export enum Origin {
  Source = 'source',
  Peer = 'peer'
}

/** Called after an endpoint was added, changed or removed. */
export type DirectoryListener = (note: DirectoryNote) => void

/** Called after a configuration has come into force. */
export type ConfigListener = (config: GatewayConfig) => void

/** What a host tells another one that knows less. */
export interface FleetDocument {
  /** Present when the other host has an older one. */
  readonly config?: GatewayConfig
  /** Either all endpoints, or the changes since what the other host knows. */
  readonly endpoints?: FleetSnapshot['endpoints']
  readonly changes?: readonly EndpointChange[]
  readonly revision: number
  /** Time for which records that lapsed in an outage are still kept, in milliseconds. */
  readonly graceMs: number
}

interface RevisedChanges {
  /** Revision before the changes. */
  readonly before: number
  readonly changes: readonly EndpointChange[]
}

/** What this host knows of configuration and endpoints. A configuration is only replaced by one of a higher version. */
export class FleetState {
  private readonly _clock: Clock
  private readonly _log: GatewayLog
  private readonly _directory = new EndpointDirectory()
  private readonly _listeners: DirectoryListener[] = []
  private readonly _configListeners: ConfigListener[] = []
  private readonly _newsListeners: Array<() => void> = []
  private _recent: readonly RevisedChanges[] = []
  private _config: GatewayConfig | undefined
  private _table: RouteTable | undefined

  /**
   * @param clock - Source of time.
   * @param log - Log of the host.
   */
  constructor (clock: Clock, log: GatewayLog) {
    this._clock = clock
    this._log = log
  }

  /** Configuration in force; `undefined` before the first. */
  get config (): GatewayConfig | undefined {
    return this._config
  }

  /** Routes of the configuration in force; `undefined` before the first. */
  get table (): RouteTable | undefined {
    return this._table
  }

  /** Version of the configuration in force; 0 before the first. */
  get version (): number {
    return this._config?.version ?? 0
  }

  /** Endpoints. */
  get directory (): EndpointDirectory {
    return this._directory
  }

  /**
   * @param listener - Called after each change of an endpoint.
   * @param signal - Ends the calls.
   */
  onDirectory (listener: DirectoryListener, signal: AbortSignal): void {
    register(this._listeners, listener, signal)
  }

  /**
   * @param listener - Called after something new was read from the source.
   * @param signal - Ends the calls.
   */
  onNews (listener: () => void, signal: AbortSignal): void {
    register(this._newsListeners, listener, signal)
  }

  /**
   * @param listener - Called after each change of the configuration.
   * @param signal - Ends the calls.
   */
  onConfig (listener: ConfigListener, signal: AbortSignal): void {
    register(this._configListeners, listener, signal)
  }

  /**
   * Takes in the whole state.
   *
   * @param snapshot - State as read.
   * @param origin - Where it was read.
   */
  adoptSnapshot ({ config, endpoints, revision }: FleetSnapshot, origin: Origin): void {
    if (config !== undefined) this._adoptConfig(config, origin)
    const news = revision > this._directory.revision
    if (news) this._recent = []
    this._tell(this._directory.adoptAll(endpoints, revision, this._clock.nowMs()), origin)
    if (news && origin === Origin.Source) this._newsListeners.forEach(listener => listener())
  }

  /**
   * Takes in changes.
   *
   * @param changes - Changes as read.
   * @param origin - Where they were read.
   */
  adoptChanges ({ config, endpoints, revision }: FleetChanges, origin: Origin): void {
    if (config !== undefined) this._adoptConfig(config, origin)
    const before = this._directory.revision
    const news = revision > before
    if (news) this._recent = [...this._recent, { before, changes: endpoints }].slice(-CHANGES_KEPT)
    this._tell(this._directory.apply(endpoints, revision, this._clock.nowMs()), origin)
    if (news && origin === Origin.Source) this._newsListeners.forEach(listener => listener())
  }

  /**
   * Takes in what another host has told.
   *
   * @param document - What it has told.
   */
  adoptDocument ({ config, endpoints, changes, revision, graceMs }: FleetDocument): void {
    if (graceMs > 0) this._directory.returnWithin(graceMs, this._clock.nowMs())
    const known = { ...(config === undefined ? {} : { config }), revision }
    if (endpoints !== undefined) this.adoptSnapshot({ ...known, endpoints }, Origin.Peer)
    else this.adoptChanges({ ...known, endpoints: changes ?? [] }, Origin.Peer)
  }

  /** Tells that the source answers again after an outage. */
  sourceReturned (): void {
    this._directory.publisherReturned(this._clock.nowMs())
  }

  /** Removes endpoints that did not come back after an outage. */
  expire (): void {
    this._tell(this._directory.expire(this._clock.nowMs()), Origin.Source)
  }

  /**
   * @param version - Version of the configuration that another host knows; 0 without one.
   * @param revision - Revision of the endpoints that it knows; 0 without any.
   * @returns What it lacks; `undefined` while this host knows no configuration itself.
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

  /** Changes since a revision; `undefined` when they are no longer kept. */
  private _changesAfter (revision: number): readonly EndpointChange[] | undefined {
    if (revision === this._directory.revision) return []
    const first = this._recent.findIndex(({ before }) => before === revision)
    return first < 0 ? undefined : this._recent.slice(first).flatMap(({ changes }) => changes)
  }

  private _adoptConfig (config: GatewayConfig, origin: Origin): void {
    const before = this.version
    if (config.version <= before) return
    this._config = config
    this._table = new RouteTable(config)
    this._log.belief('configuration in force', { version: config.version, before, routes: config.routes.length, origin })
    this._configListeners.forEach(listener => listener(config))
  }

  private _tell (notes: readonly DirectoryNote[], origin: Origin): void {
    notes.forEach(note => {
      const { id, service, address, stage } = note.record
      this._log.belief('endpoint changed', { endpoint: id, event: note.event, service, address, stage, revision: this._directory.revision, origin })
      this._listeners.forEach(listener => listener(note))
    })
  }
}

function register<Listener> (listeners: Listener[], listener: Listener, signal: AbortSignal): void {
  listeners.push(listener)
  signal.addEventListener('abort', () => listeners.splice(listeners.indexOf(listener), 1), { once: true })
}
