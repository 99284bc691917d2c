import {
  ErrorKind, QuarantineProbes, RanState, RequestError, type Clock, type CrashObservation, type CrashQuarantine, type EndpointRecord, type RunKeys
} from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import { PROOF_RUN_MS, QUARANTINE_RETRY_AFTER_MS } from './constants.js'
import { CrashDetector } from './JaymillCrashDetector.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

/** Dependencies of the guard. */
export interface CrashGuardContext {
  readonly clock: Clock
  readonly log: GatewayLog
  readonly metrics: GatewayMetrics
  readonly quarantine: CrashQuarantine
  /** Number of hosts that share the rate of probes. */
  readonly hostCount: () => number
  /** Tells the other hosts about new evidence of this host. */
  readonly share: () => void
}

/** Protects endpoints from requests that crash them: tracks runs, learns from crashes, and refuses what is quarantined. */
export class CrashGuard {
  private readonly _context: CrashGuardContext
  private readonly _detector: CrashDetector
  private readonly _probes = new QuarantineProbes()
  /** Keys of the requests that were let through as probes. */
  private readonly _probing = new WeakSet<RunKeys>()
  private _quarantinedKeys: ReadonlySet<string> = new Set()

  /**
   * @param context - Dependencies.
   */
  constructor (context: CrashGuardContext) {
    this._context = context
    this._detector = new CrashDetector(context.log, crash => this._recordCrash(crash))
  }

  /** Number of requests and parts of prompts that this host knows to be quarantined. */
  get quarantinedCount (): number {
    return this._quarantinedKeys.size
  }

  /**
   * @param request - A request.
   * @returns Whether it is quarantined, or a part of its prompt is.
   */
  isQuarantined ({ keys }: GatewayRequest): boolean {
    const { quarantine, clock } = this._context
    return quarantine.quarantined(keys, clock.nowMs()) !== undefined
  }

  /**
   * Refuses a request that has just arrived and is quarantined, unless it is let through as a probe.
   *
   * @param request - The request.
   * @throws RequestError of kind `CrashSuspect`.
   */
  admit (request: GatewayRequest): void {
    const { quarantine, clock, log, hostCount } = this._context
    const nowMs = clock.nowMs()
    const key = quarantine.quarantined(request.keys, nowMs)
    if (key === undefined) {
      this._probes.accepted()
      return
    }
    if (this._probes.tryProbe(key, hostCount(), nowMs)) {
      log.request(request.id, 'quarantine probed', { key })
      this._probing.add(request.keys)
    }
    this.check(request, false)
  }

  /**
   * Refuses a request that is quarantined.
   *
   * @param request - The request.
   * @param mayHaveRun - Whether an endpoint may have run it already.
   * @throws RequestError of kind `CrashSuspect`, or `EndpointFailed` when it may have run.
   */
  check ({ id, keys }: GatewayRequest, mayHaveRun: boolean): void {
    const { quarantine, clock, log } = this._context
    const key = quarantine.quarantined(keys, clock.nowMs())
    if (key === undefined || this._probing.has(keys)) return
    log.request(id, 'quarantined', { key, mayHaveRun })
    const message = `endpoints crashed when they began to respond to requests with ${key}`
    throw mayHaveRun
      ? new RequestError(ErrorKind.EndpointFailed, message, { ran: RanState.Unknown })
      : new RequestError(ErrorKind.CrashSuspect, message, { retryAfterMs: QUARANTINE_RETRY_AFTER_MS })
  }

  /**
   * Starts to track a run.
   *
   * @param request - The request.
   * @param endpoint - Endpoint that it is sent to.
   * @returns The run.
   */
  track ({ keys }: GatewayRequest, endpoint: EndpointRecord): TrackedRun {
    return { endpoint, keys }
  }

  /**
   * Records that complete events of a run have arrived. Events that arrive long enough after the first one prove its keys.
   *
   * @param run - The run.
   */
  eventsArrived (run: TrackedRun): void {
    const nowMs = this._context.clock.nowMs()
    run.firstEventMs ??= nowMs
    run.lastEventMs = nowMs
    if (run.proven === true || nowMs - run.firstEventMs < PROOF_RUN_MS) return
    run.proven = true
    this._recordProof(run)
  }

  /**
   * Records that the response to a run has ended as complete.
   *
   * @param run - The run.
   * @param endedWithConnection - Whether only the end of its connection marks its end, which a crash looks like.
   */
  completed (run: TrackedRun, endedWithConnection: boolean): void {
    if (endedWithConnection) this._checkEndpoint(run, () => this._recordProof(run))
    else this._recordProof(run)
  }

  /**
   * Records that the response to a run broke off.
   *
   * @param run - The run.
   */
  brokeOff (run: TrackedRun): void {
    this._checkEndpoint(run, () => {})
  }

  /** Logs what the evidence of this and other hosts has changed. */
  evidenceChanged (): void {
    const { quarantine, clock, log } = this._context
    const before = this._quarantinedKeys
    this._quarantinedKeys = new Set(quarantine.report(clock.nowMs()).quarantined.map(([key]) => key))
    ;[...this._quarantinedKeys].filter(key => !before.has(key)).forEach(key => log.stateChange('quarantine started', { key }))
    ;[...before].filter(key => !this._quarantinedKeys.has(key)).forEach(key => log.stateChange('quarantine ended', { key }))
  }

  private _checkEndpoint (run: TrackedRun, onReachable: () => void): void {
    this._detector.hasCrashed(run).then(
      crashed => { if (!crashed) onReachable() },
      (err: Error) => this._context.log.warn('endpoint not checked', { endpoint: run.endpoint.id, reason: err.message })
    )
  }

  private _recordCrash (crash: CrashObservation): void {
    const { quarantine, clock, metrics } = this._context
    if (!quarantine.recordCrash(crash, clock.nowMs())) return
    metrics.recordCall('run', 'crashed')
    this._newEvidence()
  }

  private _recordProof ({ keys }: TrackedRun): void {
    const { quarantine, clock } = this._context
    if (quarantine.recordProof(keys, clock.nowMs())) this._newEvidence()
  }

  private _newEvidence (): void {
    this.evidenceChanged()
    this._context.share()
  }
}
