import { build, Histogram } from 'hdr-histogram-js'
import { RouteClass, RouteConfig } from '../fleet/JaymillFleetConfig.js'
import { HEDGE_BURST, HEDGE_MAX_MS, HEDGE_MIN_SAMPLES, HEDGE_PERCENTILE, HEDGE_SHARE, HEDGE_WINDOW_MS } from './constants.js'
import { RatioBudget } from './JaymillRatioBudget.js'

/** Decides whether and when a call is hedged with a second copy. */
export abstract class HedgePolicy {
  /**
   * Counts a call and returns its hedging delay.
   *
   * @param route - Route of the call.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Delay before the second copy, in milliseconds; `null` if the call must not be hedged.
   */
  abstract delayMs (route: RouteConfig, nowMs: number): number | null

  /**
   * Takes one hedge from the budget of the route, after the delay.
   *
   * @param route - Route of the call.
   * @returns Whether the second copy may be sent; true for at most a fixed share of calls plus a bounded burst.
   */
  abstract trySpend (route: RouteConfig): boolean

  /**
   * Records the latency of a call.
   *
   * @param route - Route of the call.
   * @param latencyMs - Time to the first byte, in milliseconds.
   */
  abstract observe (route: RouteConfig, latencyMs: number): void
}

/** Baseline that never hedges. */
export class NoHedge extends HedgePolicy {
  /** {@inheritDoc HedgePolicy.delayMs} */
  delayMs (): null {
    return null
  }

  /** {@inheritDoc HedgePolicy.trySpend} */
  trySpend (): boolean {
    return false
  }

  /** {@inheritDoc HedgePolicy.observe} */
  observe (): void {}
}

/** Hedges idempotent lookups after the 95th latency percentile of their route ("The Tail at Scale", Dean and Barroso, 2013). */
export class PercentileHedge extends HedgePolicy {
  private readonly _routes = new Map<string, RouteLatency>()

  /** {@inheritDoc HedgePolicy.delayMs} */
  delayMs (route: RouteConfig, nowMs: number): number | null {
    if (!mayHedge(route)) return null
    const latency = this._latency(route.id)
    latency.recordCall(nowMs)
    return latency.percentile()
  }

  /** {@inheritDoc HedgePolicy.trySpend} */
  trySpend (route: RouteConfig): boolean {
    return mayHedge(route) && this._latency(route.id).budget.trySpend()
  }

  /** {@inheritDoc HedgePolicy.observe} */
  observe (route: RouteConfig, latencyMs: number): void {
    if (mayHedge(route)) this._latency(route.id).record(latencyMs)
  }

  private _latency (routeId: string): RouteLatency {
    const latency = this._routes.get(routeId) ?? new RouteLatency()
    this._routes.set(routeId, latency)
    return latency
  }
}

/** Latency histograms of one route over the current and the previous window. */
class RouteLatency {
  readonly budget = new RatioBudget(HEDGE_SHARE, HEDGE_BURST)
  private _current: Histogram = histogram()
  private _previous: Histogram = histogram()
  private _rotatedAtMs = 0

  recordCall (nowMs: number): void {
    this.budget.earn()
    if (nowMs - this._rotatedAtMs < HEDGE_WINDOW_MS) return
    this._previous = this._current
    this._current = histogram()
    this._rotatedAtMs = nowMs
  }

  record (latencyMs: number): void {
    this._current.recordValue(Math.min(HEDGE_MAX_MS, Math.max(1, Math.round(latencyMs))))
  }

  percentile (): number | null {
    const sufficient = [this._current, this._previous].find(window => window.totalCount >= HEDGE_MIN_SAMPLES)
    return sufficient?.getValueAtPercentile(HEDGE_PERCENTILE) ?? null
  }
}

function histogram (): Histogram {
  return build({ highestTrackableValue: HEDGE_MAX_MS, numberOfSignificantValueDigits: 2, useWebAssembly: false })
}

function mayHedge (route: RouteConfig): boolean {
  return route.hedging && route.idempotent && route.class === RouteClass.Lookup
}
