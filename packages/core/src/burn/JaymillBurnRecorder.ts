import { ERROR_BUDGET_SHARE, MAX_ACCOUNT_SERIES, MAX_ROUTE_SERIES, WINDOWS_MS } from './constants.js'
import { burnRow, byBurn, type BurnReport, type BurnRow } from './JaymillBurnReport.js'
import { ServiceLevel } from './JaymillServiceLevel.js'
import { WindowCounter } from './JaymillWindowCounter.js'

/** A request that counts. */
export interface BurnSample {
  readonly routeId: string
  readonly accountId: string
  readonly level: ServiceLevel
}

interface Series {
  readonly routeId: string
  readonly accountId?: string
  readonly counters: readonly WindowCounter[]
}

/** Counts requests per route, and per route and account, over all windows in bounded memory. */
export class BurnRecorder {
  private readonly _routes = new SeriesCache(MAX_ROUTE_SERIES)
  private readonly _accounts: SeriesCache

  /**
   * @param maxAccountSeries - Most pairs of route and account that are counted.
   */
  constructor (maxAccountSeries: number = MAX_ACCOUNT_SERIES) {
    this._accounts = new SeriesCache(maxAccountSeries)
  }

  /** Pairs of route and account that are counted now. */
  get accountSeries (): number {
    return this._accounts.size
  }

  /**
   * Counts one finished request.
   *
   * @param sample - Route, account and how it counts.
   * @param nowMs - Monotonic time in milliseconds.
   */
  record ({ routeId, accountId, level }: BurnSample, nowMs: number): void {
    if (level === ServiceLevel.Excluded) return
    const isBad = level !== ServiceLevel.Met
    const series = [this._routes.use(routeId), this._accounts.use(routeId, accountId)]
    series.flatMap(({ counters }) => counters).forEach(counter => counter.add(isBad, nowMs))
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Burn of every route, in the order of their ids.
   */
  routes (nowMs: number): BurnRow[] {
    return this._routes.rows(nowMs).sort((a, b) => a.routeId.localeCompare(b.routeId))
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @param accountLimit - Most account rows; those with the highest burn are kept.
   * @returns Burn of every route and of the worst accounts.
   */
  report (nowMs: number, accountLimit: number): BurnReport {
    return {
      errorBudgetShare: ERROR_BUDGET_SHARE,
      routes: this.routes(nowMs),
      accounts: this._accounts.rows(nowMs).sort(byBurn).slice(0, accountLimit)
    }
  }
}

/** Series by route and account; the one unused for longest is dropped when it is full. */
class SeriesCache {
  private readonly _series = new Map<string, Series>()
  private readonly _capacity: number

  constructor (capacity: number) {
    this._capacity = capacity
  }

  get size (): number {
    return this._series.size
  }

  use (routeId: string, accountId?: string): Series {
    const key = JSON.stringify([routeId, accountId])
    const known = this._series.get(key)
    const series = known ?? { routeId, accountId, counters: WINDOWS_MS.map(ms => new WindowCounter(ms)) }
    if (known !== undefined) this._series.delete(key)
    this._series.set(key, series)
    const [oldest] = this._series.keys()
    if (this._series.size > this._capacity && oldest !== undefined) this._series.delete(oldest)
    return series
  }

  rows (nowMs: number): BurnRow[] {
    return [...this._series.values()]
      .map(({ routeId, accountId, counters }) => burnRow(routeId, accountId, counters.map(counter => counter.count(nowMs))))
      .filter(row => row.windows.some(window => window.total > 0))
  }
}
