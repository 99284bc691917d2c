import { setMaxListeners } from 'node:events'
import { createServer } from 'node:http'
import {
  Clock, DirectoryEvent, EndpointLoad, EndpointPace, EndpointReliability, FewReadersPerZone, FleetRetryBudget, PromptDemand, Random, RouteKind, StageChanges, type DirectoryNote
} from '@jaymill/core'
import type { GatewaySettings } from '@jaymill/settings'
import { STOP_ACCEPT_MS, STOP_MARGIN_MS } from './callers/constants.js'
import { Ingress } from './callers/JaymillIngress.js'
import { listenOn } from './callers/JaymillListener.js'
import type { GatewayRequest } from './callers/JaymillGatewayRequest.js'
import { EndpointCalls } from './endpoints/JaymillEndpointCalls.js'
import { FleetFollower } from './fleet/JaymillFleetFollower.js'
import { FleetState } from './fleet/JaymillFleetState.js'
import type { Forwarder } from './forwarding/JaymillForwarder.js'
import type { ForwardingParts } from './forwarding/JaymillForwardingParts.js'
import { PlainForwarder } from './forwarding/JaymillPlainForwarder.js'
import { PromptForwarder } from './forwarding/JaymillPromptForwarder.js'
import { StageDriver } from './forwarding/JaymillStageDriver.js'
import { StreamForwarder } from './forwarding/JaymillStreamForwarder.js'
import type { GatewayLog } from './logging/JaymillGatewayLog.js'
import { GatewayMetrics } from './metrics/JaymillGatewayMetrics.js'
import { DocumentExchange } from './peers/JaymillDocumentExchange.js'
import { HostBeacons } from './peers/JaymillHostBeacons.js'
import type { EngineControl } from './ports/JaymillEngineControl.js'
import type { FleetSource } from './ports/JaymillFleetSource.js'
import type { WireDialect } from './ports/JaymillWireDialect.js'

/** Adapters that a gateway runs with. */
export interface GatewayAdapters {
  readonly clock: Clock
  readonly random: Random
  readonly log: GatewayLog
  readonly dialect: WireDialect
  readonly source: FleetSource
  readonly calls: EndpointCalls
  readonly engines: EngineControl
}

/** How far a host is. */
enum Phase {
  Starting = 'starting',
  Ready = 'ready',
  Stopping = 'stopping'
}

const STOP_CHECK_MS = 20
const SECOND_MS = 1_000

/** Parts of a host that end with it; more listeners than these are a leak. */
const ABORT_LISTENERS = 32

/** One host that forwards opaque requests to endpoints. */
export class Gateway {
  private readonly _settings: GatewaySettings
  private readonly _adapters: GatewayAdapters
  private readonly _abort = new AbortController()
  private readonly _state: FleetState
  private readonly _follower: FleetFollower
  private readonly _beacons: HostBeacons
  private readonly _parts: ForwardingParts
  private readonly _ingress: Ingress
  private readonly _stages: StageDriver
  private readonly _metrics = new GatewayMetrics()
  private _phase = Phase.Starting

  /**
   * @param settings - Checked settings.
   * @param adapters - Clock, log, and what speaks to the outside.
   */
  constructor (settings: GatewaySettings, adapters: GatewayAdapters) {
    this._settings = settings
    this._adapters = adapters
    const { clock, random, log, source } = adapters
    const load = new EndpointLoad()
    const directReads = new EndpointLoad()
    const demand = new PromptDemand()
    const changes = new StageChanges()
    this._state = new FleetState(clock, log)
    const { host: { id, zone, address }, listen } = settings
    const reads = (): boolean => new FewReadersPerZone().reads({ address, zone, connected: this._follower.connected }, this._beacons.readers)
    this._follower = new FleetFollower({ source, state: this._state, reads, clock, random, log })
    const seeds = settings.seeds.map(seed => seed.address)
    const connected = (): boolean => this._follower.connected
    this._beacons = new HostBeacons({ address, zone, listen: listen.beacon, seeds, state: this._state, load, directReads, demand, changes, connected, clock, log })
    this._parts = this._forwardingParts(load, directReads, demand, changes)
    this._stages = new StageDriver({ ...this._parts, hostId: id, leads: () => this._beacons.leads })
    this._ingress = new Ingress(this._parts, this._chooser())
  }

  /** Starts every listener; the host becomes ready as soon as it knows a configuration and the endpoints. */
  async start (): Promise<void> {
    const { listen, metricsPath, host } = this._settings
    const { clock, log } = this._adapters
    const signal = this._abort.signal
    setMaxListeners(ABORT_LISTENERS, signal)
    log.belief('started', { zone: host.zone, address: host.address, pid: process.pid })
    this._state.onConfig(config => this._ingress.adopt(config), signal)
    this._state.onDirectory(note => this._directoryChanged(note), signal)
    this._state.onNews(() => this._beacons.tellNow(), signal)
    this._follower.run(signal).catch((err: Error) => log.warn('follower ended', { reason: err.message }))
    const documents = new DocumentExchange({ listen: listen.documents, state: this._state, follower: this._follower, clock, log })
    this._beacons.onNewer((peer, beacon) => documents.newer(peer, beacon))
    await Promise.all([
      this._ingress.start(listen.caller, signal),
      this._startReady(signal),
      documents.start(signal),
      this._beacons.start(signal),
      this._metrics.start(listen.metrics, metricsPath, signal)
    ])
    this._stages.start(signal)
    this._watchMetrics()
  }

  /**
   * Stops gracefully: tells everybody, lets running requests end, then closes.
   *
   * @returns When nothing runs any more, or the grace period is nearly over.
   */
  async stop (): Promise<void> {
    if (this._phase === Phase.Stopping) return
    const { log, clock } = this._adapters
    const startMs = clock.nowMs()
    this._phase = Phase.Stopping
    log.belief('stopping', { running: this._ingress.running, graceSeconds: this._settings.bounds.graceSeconds })
    this._beacons.leave()
    const endMs = startMs + this._settings.bounds.graceSeconds * SECOND_MS - STOP_MARGIN_MS
    this._ingress.stopAt(endMs)
    await this._until(() => clock.nowMs() >= endMs || (this._ingress.running === 0 && clock.nowMs() - startMs >= STOP_ACCEPT_MS))
    log.belief('stopped', { running: this._ingress.running, ms: Math.round(clock.nowMs() - startMs) })
    this._abort.abort()
  }

  private _forwardingParts (load: EndpointLoad, directReads: EndpointLoad, demand: PromptDemand, changes: StageChanges): ForwardingParts {
    const { clock, random, log, dialect, calls, engines } = this._adapters
    const { retryRatio, retryMinimum, retryWindowSeconds } = this._settings.bounds
    return {
      zone: this._settings.host.zone,
      clock,
      random,
      log,
      metrics: this._metrics,
      dialect,
      calls,
      engines,
      state: this._state,
      load,
      directReads,
      demand,
      changes,
      reliability: new EndpointReliability(),
      pace: new EndpointPace(),
      budget: new FleetRetryBudget({ ratio: retryRatio, minRetries: retryMinimum, windowMs: retryWindowSeconds * SECOND_MS }),
      hosts: () => this._beacons.hosts,
      loadChanged: () => this._beacons.loadChanged(),
      tellNow: () => this._beacons.tellNow()
    }
  }

  private _chooser (): (request: GatewayRequest) => Forwarder {
    const plain = new PlainForwarder(this._parts)
    const stream = new StreamForwarder(this._parts)
    const prompt = new PromptForwarder(this._parts)
    return ({ route, service, facts }) => {
      if (service.engine !== undefined && facts.prompt !== undefined) return prompt
      return route.kind === RouteKind.Streaming ? stream : plain
    }
  }

  private _isReady (): boolean {
    const { config, directory } = this._state
    if (this._phase === Phase.Starting && config !== undefined && directory.revision > 0) {
      this._phase = Phase.Ready
      this._adapters.log.belief('ready', { config: config.version, endpoints: directory.records().length, revision: directory.revision })
    }
    return this._phase === Phase.Ready
  }

  private async _startReady (signal: AbortSignal): Promise<void> {
    const { readyPath, listen } = this._settings
    const server = createServer((req, res) => {
      const known = req.url === readyPath
      res.writeHead(known ? (this._isReady() ? 200 : 503) : 404).end()
    })
    await listenOn(server, listen.ready, signal)
  }

  private _directoryChanged ({ event, record }: DirectoryNote): void {
    if (event === DirectoryEvent.Changed && record.stage !== undefined) this._stages.stageChanged(record)
    if (event !== DirectoryEvent.Removed) return
    this._parts.calls.forget(record)
    this._parts.reliability.forget(record.id)
    this._parts.pace.forget(record.id)
  }

  private _watchMetrics (): void {
    this._metrics.watch({
      running: () => this._ingress.running,
      ready: () => this._phase === Phase.Ready,
      configVersion: () => this._state.version,
      hosts: () => this._beacons.live.length + 1
    })
  }

  private async _until (done: () => boolean): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        if (!done()) return
        clearInterval(timer)
        resolve()
      }, STOP_CHECK_MS)
    })
  }
}
