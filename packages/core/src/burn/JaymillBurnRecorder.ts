import { ERROR_BUDGET_SHARE, MAX_ACCOUNT_SERIES, MAX_ROUTE_SERIES, WINDOWS_MS } from './constants.js'
import { burnRow, byBurn, type BurnReport, type BurnRow } from './JaymillBurnReport.js'
import { ServiceLevel } from './JaymillServiceLevel.js'
import { WindowCounter } from './JaymillWindowCounter.js'

/** A finished request and how it counts. */
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

/** Counts requests per route, and per pair of route and account, over all windows in bounded memory. */
export class BurnRecorder {
  private readonly _routes = new SeriesCache(MAX_ROUTE_SERIES)
  private readonly _accounts: SeriesCache

  /**
   * @param maxAccountSeries - Maximum number of pairs of route and account that are counted.
   */
  constructor (maxAccountSeries: number = MAX_ACCOUNT_SERIES) {
    this._accounts = new SeriesCache(maxAccountSeries)
  }

  /** Number of pairs of route and account that are counted. */
  get accountSeries (): number {
    return this._accounts.size
  }

  /**
   * Counts one finished request.
   *
   * @param sample - Route, account and service level of the request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  record ({ routeId, accountId, level }: BurnSample, nowMs: number): void {
    if (level === ServiceLevel.Excluded) return
    const isBad = level !== ServiceLevel.Met
    const series = [this._routes.getOrCreate(routeId), this._accounts.getOrCreate(routeId, accountId)]
    series.flatMap(({ counters }) => counters).forEach(counter => counter.add(isBad, nowMs))
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Burn of every route, sorted by id.
   */
  routes (nowMs: number): BurnRow[] {
    return this._routes.rows(nowMs).sort((a, b) => a.routeId.localeCompare(b.routeId))
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @param accountLimit - Maximum number of account rows; those with the highest burn are returned.
   * @returns Burn of every route and of the accounts with the highest burn.
   */
  report (nowMs: number, accountLimit: number): BurnReport {
    return {
      errorBudgetShare: ERROR_BUDGET_SHARE,
      routes: this.routes(nowMs),
      accounts: this._accounts.rows(nowMs).sort(byBurn).slice(0, accountLimit)
    }
  }
}

/** LRU cache of series by route and account. */
class SeriesCache {
  private readonly _series = new Map<string, Series>()
  private readonly _capacity: number

  constructor (capacity: number) {
    this._capacity = capacity
  }

  get size (): number {
    return this._series.size
  }

  getOrCreate (routeId: string, accountId?: string): Series {
    const key = JSON.stringify([routeId, accountId])
    const existing = this._series.get(key)
    const series = existing ?? { routeId, accountId, counters: WINDOWS_MS.map(ms => new WindowCounter(ms)) }
    if (existing !== undefined) this._series.delete(key)
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
