import { Clock, EndpointDirectory, RouteTable, type DirectoryNote, type EndpointRecord, type GatewayConfig } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { FleetChanges, FleetSnapshot } from '../ports/JaymillFleetSource.js'

/** Where a host has learned something. */
export enum Origin {
  Source = 'source',
  Peer = 'peer'
}

/** Called after an endpoint was added, changed or removed. */
export type DirectoryListener = (note: DirectoryNote) => void

/** Called after a configuration has come into force. */
export type ConfigListener = (config: GatewayConfig) => void

/** What this host knows of configuration and endpoints. A configuration is only replaced by one of a higher version. */
export class FleetState {
  private readonly _clock: Clock
  private readonly _log: GatewayLog
  private readonly _directory = new EndpointDirectory()
  private readonly _listeners: DirectoryListener[] = []
  private readonly _configListeners: ConfigListener[] = []
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
    this._listeners.push(listener)
    signal.addEventListener('abort', () => this._listeners.splice(this._listeners.indexOf(listener), 1), { once: true })
  }

  /**
   * @param listener - Called after each change of the configuration.
   * @param signal - Ends the calls.
   */
  onConfig (listener: ConfigListener, signal: AbortSignal): void {
    this._configListeners.push(listener)
    signal.addEventListener('abort', () => this._configListeners.splice(this._configListeners.indexOf(listener), 1), { once: true })
  }

  /**
   * Takes in the whole state.
   *
   * @param snapshot - State as read.
   * @param origin - Where it was read.
   */
  adoptSnapshot ({ config, endpoints, revision }: FleetSnapshot, origin: Origin): void {
    if (config !== undefined) this._adoptConfig(config, origin)
    this._tell(this._directory.adoptAll(endpoints, revision, this._clock.nowMs()), origin)
  }

  /**
   * Takes in changes.
   *
   * @param changes - Changes as read.
   */
  adoptChanges ({ config, endpoints, revision }: FleetChanges): void {
    if (config !== undefined) this._adoptConfig(config, Origin.Source)
    this._tell(this._directory.apply(endpoints, revision, this._clock.nowMs()), Origin.Source)
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
   * @returns Everything that is known, for another host; `undefined` before the first configuration.
   */
  snapshot (): FleetSnapshot & { readonly endpoints: readonly EndpointRecord[] } | undefined {
    if (this._config === undefined) return undefined
    return { config: this._config, endpoints: this._directory.records(), revision: this._directory.revision }
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
