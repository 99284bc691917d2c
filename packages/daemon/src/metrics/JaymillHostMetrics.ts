import type { BurnRow, RequestRecord } from '@jaymill/core'
import type { KeyOwnerStatus } from '../idempotency/JaymillKeyOwnerDriver.js'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { INTER_TOKEN_BUCKETS_S, SECOND_MS, SECOND_US, TTFT_BUCKETS_S } from './constants.js'
import { BoundedLabel } from './JaymillBoundedLabel.js'

/** Figures that are read when metrics are collected. */
export interface MetricsSources {
  /** Requests that run on this host. */
  readonly running: () => number
  readonly ready: () => boolean
  readonly draining: () => boolean
  /** Revision of the fleet configuration in force; 0 before the first. */
  readonly fleetRevision: () => number
  /** Revision of the host list in force; 0 before the first. */
  readonly hostListRevision: () => number
  /** Published documents that are known to be newer than those in force, for longer than they may. */
  readonly documentsOverdue: () => number
  /** State of the owner of idempotency keys. */
  readonly keys: () => KeyOwnerStatus
  /** Burn of each route. */
  readonly burnRoutes: () => readonly BurnRow[]
}

/** Metrics of one host. Labels are routes, classes and kinds, never accounts or request ids. */
export class HostMetrics {
  private readonly _registry = new Registry()
  private readonly _routes = new BoundedLabel()
  private readonly _requests: Counter
  private readonly _tokens: Counter
  private readonly _ttft: Histogram
  private readonly _interToken: Histogram
  private readonly _problems: Counter
  private readonly _platformFailures: Counter

  constructor () {
    const registers = [this._registry]
    this._requests = new Counter({
      name: 'jaymill_requests_total', help: 'Finished requests.', labelNames: ['route', 'class', 'state', 'ran'], registers
    })
    this._tokens = new Counter({ name: 'jaymill_tokens_total', help: 'Tokens sent to callers.', labelNames: ['route'], registers })
    this._ttft = new Histogram({
      name: 'jaymill_ttft_seconds', help: 'Time to the first token or byte.', labelNames: ['class'], buckets: TTFT_BUCKETS_S, registers
    })
    this._interToken = new Histogram({
      name: 'jaymill_inter_token_seconds', help: 'Mean time between tokens of a request.', labelNames: ['class'], buckets: INTER_TOKEN_BUCKETS_S, registers
    })
    this._problems = new Counter({
      name: 'jaymill_problems_total', help: 'Problem documents sent to callers.', labelNames: ['kind'], registers
    })
    this._platformFailures = new Counter({
      name: 'jaymill_platform_failures_total', help: 'Failed reads of the platform.', labelNames: ['failure'], registers
    })
  }

  /** Media type of the text. */
  get contentType (): string {
    return this._registry.contentType
  }

  /**
   * Adds gauges that are read at each collection.
   *
   * @param sources - Where the figures come from.
   */
  watch (sources: MetricsSources): void {
    this._gauge('jaymill_requests_running', 'Requests that run on this host.', sources.running)
    this._gauge('jaymill_ready', '1 when the host takes new work.', () => Number(sources.ready()))
    this._gauge('jaymill_draining', '1 when the host is stopping.', () => Number(sources.draining()))
    this._gauge('jaymill_fleet_revision', 'Revision of the fleet configuration in force.', sources.fleetRevision)
    this._gauge('jaymill_host_list_revision', 'Revision of the host list in force.', sources.hostListRevision)
    this._gauge('jaymill_documents_overdue', 'Published documents that should be in force and are not.', sources.documentsOverdue)
    this._gauge('jaymill_key_lease_seconds', 'Time left on the lease for idempotency keys.', () => sources.keys().leaseLeftMs / SECOND_MS)
    this._gauge('jaymill_key_active_revision', 'Host list revision under which keys are owned; 0 for none.', () => sources.keys().activeRevision)
    this._gauge('jaymill_key_records', 'Outcomes remembered.', () => sources.keys().records)
    this._decisions(sources.keys)
    this._burn(sources.burnRoutes)
    this._gauge('process_resident_memory_bytes', 'Resident memory.', () => process.memoryUsage.rss())
    this._cpu()
  }

  /**
   * Counts a finished request.
   *
   * @param record - Its record.
   */
  countRequest (record: RequestRecord): void {
    const { routeId, routeClass, state, ran, ttftMs, tokens } = record.view()
    const route = this._routes.of(routeId)
    this._requests.inc({ route, class: routeClass, state, ran })
    this._tokens.inc({ route }, tokens)
    if (ttftMs !== undefined) this._ttft.observe({ class: routeClass }, ttftMs / SECOND_MS)
    if (record.interTokenMs !== undefined) this._interToken.observe({ class: routeClass }, record.interTokenMs / SECOND_MS)
  }

  /**
   * Counts a problem document.
   *
   * @param kind - Kind of the failure.
   */
  countProblem (kind: string): void {
    this._problems.inc({ kind })
  }

  /**
   * Counts a failed read of the platform.
   *
   * @param failure - Why it failed.
   */
  countPlatformFailure (failure: string): void {
    this._platformFailures.inc({ failure })
  }

  /**
   * @returns All metrics in the text format of Prometheus.
   */
  async text (): Promise<string> {
    return await this._registry.metrics()
  }

  private _gauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name, help, registers: [this._registry], collect: () => gauge.set(read()) })
  }

  private _decisions (read: MetricsSources['keys']): void {
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

  private _burn (read: MetricsSources['burnRoutes']): void {
    const gauge: Gauge = new Gauge({
      name: 'jaymill_burn_rate',
      help: 'Share of requests that missed their targets over the error budget; 1 uses it up exactly.',
      labelNames: ['route', 'window_seconds'],
      registers: [this._registry],
      collect: () => {
        gauge.reset()
        read().forEach(({ routeId, windows }) => windows.forEach(({ windowMs, burnRate }) =>
          gauge.set({ route: this._routes.of(routeId), window_seconds: windowMs / SECOND_MS }, burnRate)))
      }
    })
  }

  private _cpu (): void {
    const counter: Counter = new Counter({
      name: 'process_cpu_seconds_total',
      help: 'Processor time of the process.',
      registers: [this._registry],
      collect: () => {
        const { user, system } = process.cpuUsage()
        counter.reset()
        counter.inc((user + system) / SECOND_US)
      }
    })
  }
}
