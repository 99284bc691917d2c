import type { BurnRow, RequestRecord } from '@jaymill/core'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { KeyOwnerStatus } from '../idempotency/JaymillKeyOwnerDriver.js'
import { INTER_TOKEN_BUCKETS_S, MS_PER_SECOND, US_PER_SECOND, TTFT_BUCKETS_S } from './constants.js'
import { BoundedLabel } from './JaymillBoundedLabel.js'

/** Values that are read whenever metrics are collected. */
export interface MetricsSources {
  /** Number of requests that are running on this host. */
  readonly running: () => number
  readonly ready: () => boolean
  readonly draining: () => boolean
  /** Revision of the active fleet configuration; 0 before the first. */
  readonly fleetRevision: () => number
  /** Revision of the active host list; 0 before the first. */
  readonly hostListRevision: () => number
  /** Number of documents of which a newer revision was reported more than `LAG_REPORT_MS` ago and is not active yet. */
  readonly documentsOverdue: () => number
  /** Status of the key owner on this host. */
  readonly keys: () => KeyOwnerStatus
  /** Error budget burn of each route. */
  readonly burnRoutes: () => readonly BurnRow[]
}

/** Prometheus metrics of one host. Labels are routes, classes and kinds, never accounts or request ids. */
export class HostMetrics {
  private readonly _registry = new Registry()
  private readonly _routes = new BoundedLabel()
  private readonly _requests: Counter
  private readonly _tokens: Counter
  private readonly _ttft: Histogram
  private readonly _interToken: Histogram
  private readonly _problems: Counter
  private readonly _sourceFailures: Counter

  constructor () {
    const registers = [this._registry]
    this._requests = new Counter({
      name: 'jaymill_requests_total', help: 'Finished requests.', labelNames: ['route', 'class', 'state', 'ran'], registers
    })
    this._tokens = new Counter({
      name: 'jaymill_tokens_total', help: 'Tokens sent to callers.', labelNames: ['route'], registers
    })
    this._ttft = new Histogram({
      name: 'jaymill_ttft_seconds',
      help: 'Time to the first token or byte.',
      labelNames: ['class'],
      buckets: TTFT_BUCKETS_S,
      registers
    })
    this._interToken = new Histogram({
      name: 'jaymill_inter_token_seconds',
      help: 'Mean time between tokens of a request.',
      labelNames: ['class'],
      buckets: INTER_TOKEN_BUCKETS_S,
      registers
    })
    this._problems = new Counter({
      name: 'jaymill_problems_total', help: 'Problem documents sent to callers.', labelNames: ['kind'], registers
    })
    this._sourceFailures = new Counter({
      name: 'jaymill_platform_failures_total', help: 'Failed reads of the platform.', labelNames: ['failure'], registers
    })
  }

  /** Content type of the text format. */
  get contentType (): string {
    return this._registry.contentType
  }

  /**
   * Registers the metrics that are read at each collection.
   *
   * @param sources - Functions that return the values.
   */
  registerGauges (sources: MetricsSources): void {
    this._registerGauge('jaymill_requests_running', 'Requests that run on this host.', sources.running)
    this._registerGauge('jaymill_ready', '1 when the host takes new work.', () => Number(sources.ready()))
    this._registerGauge('jaymill_draining', '1 when the host is stopping.', () => Number(sources.draining()))
    this._registerGauge('jaymill_fleet_revision', 'Revision of the fleet configuration in force.', sources.fleetRevision)
    this._registerGauge('jaymill_host_list_revision', 'Revision of the host list in force.', sources.hostListRevision)
    this._registerGauge(
      'jaymill_documents_overdue', 'Published documents that should be in force and are not.', sources.documentsOverdue
    )
    this._registerGauge(
      'jaymill_key_lease_seconds', 'Time left on the lease for idempotency keys.', () => sources.keys().leaseLeftMs / MS_PER_SECOND
    )
    this._registerGauge(
      'jaymill_key_active_revision', 'Host list revision under which keys are owned; 0 for none.',
      () => sources.keys().activeRevision
    )
    this._registerGauge('jaymill_key_records', 'Outcomes remembered.', () => sources.keys().records)
    this._registerDecisionCounter(sources.keys)
    this._registerBurnGauge(sources.burnRoutes)
    this._registerGauge('process_resident_memory_bytes', 'Resident memory.', () => process.memoryUsage.rss())
    this._registerCpuCounter()
  }

  /**
   * Counts a finished request.
   *
   * @param record - Record of the request.
   */
  countRequest (record: RequestRecord): void {
    const { routeId, routeClass, state, ran, ttftMs, tokens } = record.view()
    const route = this._routes.limit(routeId)
    this._requests.inc({ route, class: routeClass, state, ran })
    this._tokens.inc({ route }, tokens)
    if (ttftMs !== undefined) this._ttft.observe({ class: routeClass }, ttftMs / MS_PER_SECOND)
    if (record.interTokenMs !== undefined) this._interToken.observe({ class: routeClass }, record.interTokenMs / MS_PER_SECOND)
  }

  /**
   * Counts a problem document.
   *
   * @param kind - Kind of the error.
   */
  countProblem (kind: string): void {
    this._problems.inc({ kind })
  }

  /**
   * Counts a failed read of the configuration source.
   *
   * @param failure - Kind of the failure.
   */
  countSourceFailure (failure: string): void {
    this._sourceFailures.inc({ failure })
  }

  /**
   * @returns All metrics in the Prometheus text format.
   */
  async text (): Promise<string> {
    return await this._registry.metrics()
  }

  private _registerGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this._registry], collect: () => gauge.set(read()) })
  }

  private _registerDecisionCounter (read: MetricsSources['keys']): void {
    const counter: Counter = new Counter({
      name: 'jaymill_key_decisions_total',
      help: 'Decisions of the owner of idempotency keys.',
      labelNames: ['kind'],
      registers: [this._registry],
      collect: () => {
        counter.reset()
        Object.entries(read().decisions).forEach(([kind, count]) => counter.inc({ kind }, count))
      }
    })
  }

  private _registerBurnGauge (read: MetricsSources['burnRoutes']): void {
    const gauge: Gauge = new Gauge({
      name: 'jaymill_burn_rate',
      help: 'Share of requests that missed their targets over the error budget; 1 uses it up exactly.',
      labelNames: ['route', 'window_seconds'],
      registers: [this._registry],
      collect: () => {
        gauge.reset()
        read().forEach(({ routeId, windows }) => windows.forEach(({ windowMs, burnRate }) =>
          gauge.set({ route: this._routes.limit(routeId), window_seconds: windowMs / MS_PER_SECOND }, burnRate)))
      }
    })
  }

  private _registerCpuCounter (): void {
    const counter: Counter = new Counter({
      name: 'process_cpu_seconds_total',
      help: 'Processor time of the process.',
      registers: [this._registry],
      collect: () => {
        const { user, system } = process.cpuUsage()
        counter.reset()
        counter.inc((user + system) / US_PER_SECOND)
      }
    })
  }
}
