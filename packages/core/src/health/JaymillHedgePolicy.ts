import { build, Histogram } from 'hdr-histogram-js'
import { RouteClass, RouteConfig } from '../fleet/JaymillFleetConfig.js'
import { HEDGE_BURST, HEDGE_MAX_MS, HEDGE_MIN_SAMPLES, HEDGE_PERCENTILE, HEDGE_SHARE, HEDGE_WINDOW_MS } from './constants.js'
import { TokenAllowance } from './JaymillTokenAllowance.js'

/** Decides whether and when a second copy of a call is sent. */
export abstract class HedgePolicy {
  /**
   * Counts a call.
   *
   * @param route - Its route.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Wait before a second copy, in milliseconds; `null` when there must be none.
   */
  abstract delayMs (route: RouteConfig, nowMs: number): number | null

  /**
   * Asks, after the wait, whether the second copy may go out.
   *
   * @param route - Route of the call.
   * @returns True at most for a fixed share of calls.
   */
  abstract spend (route: RouteConfig): boolean

  /**
   * @param route - Route of the call.
   * @param latencyMs - Time to the first byte, in milliseconds.
   */
  abstract observe (route: RouteConfig, latencyMs: number): void
}

/** Baseline: never a second copy. */
export class NoHedge extends HedgePolicy {
  /** {@inheritDoc HedgePolicy.delayMs} */
  delayMs (): null {
    return null
  }

  /** {@inheritDoc HedgePolicy.spend} */
  spend (): boolean {
    return false
  }

  /** {@inheritDoc HedgePolicy.observe} */
  observe (): void {}
}

/** Hedges idempotent lookups after their own 95th percentile ("The Tail at Scale", Dean and Barroso, 2013). */
export class PercentileHedge extends HedgePolicy {
  private readonly _routes = new Map<string, RouteLatency>()

  /** {@inheritDoc HedgePolicy.delayMs} */
  delayMs (route: RouteConfig, nowMs: number): number | null {
    if (!mayHedge(route)) return null
    const latency = this._latency(route.id)
    latency.counted(nowMs)
    return latency.percentile()
  }

  /** {@inheritDoc HedgePolicy.spend} */
  spend (route: RouteConfig): boolean {
    return mayHedge(route) && this._latency(route.id).allowance.spend()
  }

  /** {@inheritDoc HedgePolicy.observe} */
  observe (route: RouteConfig, latencyMs: number): void {
    if (mayHedge(route)) this._latency(route.id).record(latencyMs)
  }

  private _latency (routeId: string): RouteLatency {
    const known = this._routes.get(routeId) ?? new RouteLatency()
    this._routes.set(routeId, known)
    return known
  }
}

/** Latencies of one route over two windows, of which the older is dropped in turn. */
class RouteLatency {
  readonly allowance = new TokenAllowance(HEDGE_SHARE, HEDGE_BURST)
  private _current: Histogram = histogram()
  private _previous: Histogram = histogram()
  private _turnedMs = 0

  counted (nowMs: number): void {
    this.allowance.earn()
    if (nowMs - this._turnedMs < HEDGE_WINDOW_MS) return
    this._previous = this._current
    this._current = histogram()
    this._turnedMs = nowMs
  }

  record (latencyMs: number): void {
    this._current.recordValue(Math.min(HEDGE_MAX_MS, Math.max(1, Math.round(latencyMs))))
  }

  percentile (): number | null {
    const filled = [this._current, this._previous].find(window => window.totalCount >= HEDGE_MIN_SAMPLES)
    return filled?.getValueAtPercentile(HEDGE_PERCENTILE) ?? null
  }
}

function histogram (): Histogram {
  return build({ highestTrackableValue: HEDGE_MAX_MS, numberOfSignificantValueDigits: 2, useWebAssembly: false })
}

function mayHedge (route: RouteConfig): boolean {
  return route.hedging && route.idempotent && route.class === RouteClass.Lookup
}
