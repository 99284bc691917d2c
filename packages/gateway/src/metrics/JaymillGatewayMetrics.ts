import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { SocketAddress } from '@jaymill/settings'
import { createInternalServer } from '../callers/JaymillInternalServer.js'
import { listenOn } from '../callers/JaymillListener.js'

/** Upper bounds of the latency buckets, in seconds: from one call within a region to the longest deadline of a caller. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 2, 4, 8, 16]
const MS_PER_SECOND = 1_000

/** What became of a request that needed capacity at the engines. */
export interface CapacityLabels {
  readonly service: string
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number
  /** `reserved`, the reason of its refusal, or `ended` when its caller left or another host serves it. */
  readonly outcome: string
}

/** Values that are read when metrics are collected. */
export interface GatewayGauges {
  readonly running: () => number
  readonly ready: () => boolean
  readonly configVersion: () => number
  readonly hosts: () => number
  readonly quarantined: () => number
  readonly outOfReach: () => number
  /** Bytes of requests and responses in memory. */
  readonly heldBytes: () => number
  /** Connections whose body is not read for now. */
  readonly waitingConnections: () => number
  readonly callerConnections: () => number
  readonly accountsNearLimit: () => number
}

/** Metrics of one host. Labels are kinds and outcomes, never ids. */
export class GatewayMetrics {
  private readonly _registry = new Registry()
  private readonly _responses: Counter
  private readonly _refusals: Counter
  private readonly _calls: Counter
  private readonly _choices: Counter
  private readonly _forwarded: Counter
  private readonly _retries: Counter
  private readonly _closedConnections: Counter
  private readonly _quotaUnits: Counter
  private readonly _latency: Histogram
  private readonly _firstEvent: Histogram
  private readonly _capacityWait: Histogram

  constructor () {
    const registers = [this._registry]
    this._responses = new Counter({ name: 'jaymill_answers_total', help: 'Answers of endpoints passed on.', labelNames: ['kind', 'status'], registers })
    this._refusals = new Counter({ name: 'jaymill_refusals_total', help: 'Requests answered by the host itself.', labelNames: ['kind'], registers })
    this._calls = new Counter({ name: 'jaymill_endpoint_calls_total', help: 'Calls to endpoints.', labelNames: ['call', 'outcome'], registers })
    this._choices = new Counter({ name: 'jaymill_expected_work_choices_total', help: 'Endpoints chosen by expected work, by what it is known from.', labelNames: ['known'], registers })
    this._forwarded = new Counter({ name: 'jaymill_forwarded_total', help: 'Requests sent to other hosts.', labelNames: ['outcome'], registers })
    this._retries = new Counter({ name: 'jaymill_retries_total', help: 'Retries charged to the budget, or refused by it.', labelNames: ['call', 'outcome'], registers })
    this._closedConnections = new Counter({
      name: 'jaymill_closed_connections_total', help: 'Connections that the host closed to stay within its limits.', labelNames: ['reason'], registers
    })
    this._quotaUnits = new Counter({ name: 'jaymill_quota_units_total', help: 'Units of quotas that callers asked for.', labelNames: ['outcome'], registers })
    this._latency = new Histogram({
      name: 'jaymill_answer_seconds', help: 'Time to the whole answer.', labelNames: ['kind'], buckets: LATENCY_BUCKETS_S, registers
    })
    this._firstEvent = new Histogram({
      name: 'jaymill_first_event_seconds', help: 'Time to the first event of a stream.', buckets: LATENCY_BUCKETS_S, registers
    })
    this._capacityWait = new Histogram({
      name: 'jaymill_capacity_wait_seconds', help: 'Time that requests waited for capacity at the engines.', labelNames: ['service', 'rank', 'outcome'], buckets: LATENCY_BUCKETS_S, registers
    })
  }

  /**
   * Records the end of a wait for capacity, where requests of a service differ in rank or account.
   *
   * @param labels - What became of the request.
   * @param ms - Time that it waited, in milliseconds.
   */
  recordCapacityWait ({ service, rank, outcome }: CapacityLabels, ms: number): void {
    this._capacityWait.observe({ service, rank, outcome }, ms / MS_PER_SECOND)
  }

  /**
   * Adds gauges that are read at each collection.
   *
   * @param gauges - Functions that return the values.
   */
  addGauges (gauges: GatewayGauges): void {
    this._gauge('jaymill_requests_running', 'Requests that run on this host.', gauges.running)
    this._gauge('jaymill_ready', '1 when the host takes new work.', () => Number(gauges.ready()))
    this._gauge('jaymill_config_version', 'Version of the configuration in force.', gauges.configVersion)
    this._gauge('jaymill_hosts', 'Hosts heard lately, this one included.', gauges.hosts)
    this._gauge('jaymill_services_out_of_reach', 'Services whose endpoints this host can not reach.', gauges.outOfReach)
    this._gauge('jaymill_held_bytes', 'Bytes of requests and responses in memory.', gauges.heldBytes)
    this._gauge('jaymill_connections_waiting', 'Connections whose body is not read for now.', gauges.waitingConnections)
    this._gauge('jaymill_caller_connections', 'Open connections of callers.', gauges.callerConnections)
    this._gauge('jaymill_accounts_near_limit', 'Client accounts that are close to their quota, or over it.', gauges.accountsNearLimit)
    this._gauge('jaymill_quarantined', 'Requests and parts of prompts that are refused because they crash endpoints.', gauges.quarantined)
  }

  /**
   * Records a response of an endpoint.
   *
   * @param kind - Kind of the route.
   * @param status - Status of the response.
   * @param ms - Time since the request arrived, in milliseconds.
   */
  recordResponse (kind: string, status: number, ms: number): void {
    this._responses.inc({ kind, status })
    this._latency.observe({ kind }, ms / MS_PER_SECOND)
  }

  /**
   * Records the first event of a stream.
   *
   * @param ms - Time from the request to its first event, in milliseconds.
   */
  recordFirstEvent (ms: number): void {
    this._firstEvent.observe(ms / MS_PER_SECOND)
  }

  /**
   * Records a request that the host itself responds to.
   *
   * @param kind - Kind of the failure.
   */
  recordRefusal (kind: string): void {
    this._refusals.inc({ kind })
  }

  /**
   * Records a call to an endpoint.
   *
   * @param call - Type of the call.
   * @param outcome - Outcome of the call.
   */
  recordCall (call: string, outcome: string): void {
    this._calls.inc({ call, outcome })
  }

  /**
   * Records an endpoint that was chosen by the work that is expected there.
   *
   * @param reported - Whether the endpoint itself has reported its load lately; only other hosts otherwise.
   */
  recordChoice (reported: boolean): void {
    this._choices.inc({ known: reported ? 'endpoint' : 'hosts' })
  }

  /**
   * Records a request that was sent to another host.
   *
   * @param outcome - Outcome of the call.
   */
  recordForwarded (outcome: string): void {
    this._forwarded.inc({ outcome })
  }

  /**
   * Records a retry.
   *
   * @param call - Type of the call.
   * @param charged - Whether the budget allowed it.
   */
  recordRetry (call: string, charged: boolean): void {
    this._retries.inc({ call, outcome: charged ? 'charged' : 'refused' })
  }

  /**
   * Records a connection that was closed to stay within the limits of the host.
   *
   * @param reason - The limit: `memory`, `idle` for a connection without a request, or `limit` for a new one.
   */
  recordClosedConnection (reason: string): void {
    this._closedConnections.inc({ reason })
  }

  /**
   * Records a request of an account with a quota.
   *
   * @param admitted - Whether the quota admitted it.
   * @param units - Cost of the request.
   */
  recordQuotaUnits (admitted: boolean, units: number): void {
    this._quotaUnits.inc({ outcome: admitted ? 'admitted' : 'refused' }, units)
  }

  /**
   * Serves the metrics in the text format of Prometheus.
   *
   * @param listen - Address to listen on.
   * @param path - Path of the metrics.
   * @param maxConnections - Maximum number of connections.
   * @param signal - Closes the listener when it aborts.
   */
  async start (listen: SocketAddress, path: string, maxConnections: number, signal: AbortSignal): Promise<void> {
    const server = createInternalServer(maxConnections, (req, res) => {
      if (req.url !== path) {
        res.writeHead(404).end()
        return
      }
      this._registry.metrics().then(
        text => res.writeHead(200, { 'Content-Type': this._registry.contentType }).end(text),
        () => res.writeHead(500).end()
      )
    })
    await listenOn(server, listen, signal)
  }

  private _gauge (name: string, help: string, value: () => number): void {
    this._registry.registerMetric(new Gauge({ name, help, registers: [], collect () { this.set(value()) } }))
  }
}
