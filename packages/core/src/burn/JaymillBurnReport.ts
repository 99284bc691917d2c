import {
  ERROR_BUDGET_SHARE, FAST_BURN_RATE, MIN_ALARM_REQUESTS, SLOW_BURN_RATE, WINDOWS_MS
} from './constants.js'
import type { WindowCount } from './JaymillWindowCounter.js'

/** Alarm level of a burn rate. */
export enum BurnAlarm {
  None = 'none',
  /** The burn rate has been above 1 for hours: the budget is being overspent, but will not run out within hours. */
  Slow = 'slow',
  /** The budget will run out within hours. */
  Fast = 'fast'
}

/** Burn rate in one window. */
export interface BurnWindow extends WindowCount {
  readonly windowMs: number
  /** Share of bad requests divided by the error budget; 1 uses up the budget exactly. */
  readonly burnRate: number
}

/** Burn of one route, or of one account on a route. */
export interface BurnRow {
  readonly routeId: string
  /** Absent in the row of a whole route. */
  readonly accountId?: string
  readonly windows: readonly BurnWindow[]
  readonly alarm: BurnAlarm
}

/** Burn of the error budget per route and account. */
export interface BurnReport {
  /** Share of requests that may miss their targets. */
  readonly errorBudgetShare: number
  readonly routes: readonly BurnRow[]
  /** Accounts with the highest burn first; may be truncated. */
  readonly accounts: readonly BurnRow[]
}

/**
 * Builds a row from its counts.
 *
 * @param routeId - Id of the route.
 * @param accountId - Id of the account; `undefined` for the whole route.
 * @param counts - Requests per window, shortest window first.
 * @returns The row with burn rates and alarm.
 */
export function burnRow (routeId: string, accountId: string | undefined, counts: readonly WindowCount[]): BurnRow {
  const windows = counts.map((count, i) => burnWindow(WINDOWS_MS[i] ?? 0, count))
  return { routeId, ...(accountId === undefined ? {} : { accountId }), windows, alarm: alarmOf(windows) }
}

/**
 * Merges the reports of several hosts.
 *
 * @param reports - One report per host.
 * @param accountLimit - Maximum number of account rows.
 * @returns One report; its account rows lack the counts of hosts whose truncated reports omit the account.
 */
export function mergeBurnReports (reports: readonly BurnReport[], accountLimit: number): BurnReport {
  return {
    errorBudgetShare: ERROR_BUDGET_SHARE,
    routes: mergeRows(reports.flatMap(report => report.routes)),
    accounts: mergeRows(reports.flatMap(report => report.accounts)).sort(byBurn).slice(0, accountLimit)
  }
}

/**
 * Compares rows by burn rate, highest first, starting with the shortest window.
 *
 * @param a - One row.
 * @param b - Another row.
 * @returns Negative if `a` burns faster.
 */
export function byBurn (a: BurnRow, b: BurnRow): number {
  const differences = a.windows.map((window, i) => (b.windows[i]?.burnRate ?? 0) - window.burnRate)
  return differences.find(difference => difference !== 0) ?? a.routeId.localeCompare(b.routeId)
}

function burnWindow (windowMs: number, { total, bad }: WindowCount): BurnWindow {
  return { windowMs, total, bad, burnRate: total === 0 ? 0 : bad / total / ERROR_BUDGET_SHARE }
}

function alarmOf (windows: readonly BurnWindow[]): BurnAlarm {
  const exceeds = (rate: number) => (window: BurnWindow) => window.burnRate > rate && window.total >= MIN_ALARM_REQUESTS
  if (windows.slice(0, 2).every(exceeds(FAST_BURN_RATE))) return BurnAlarm.Fast
  return windows.slice(1).every(exceeds(SLOW_BURN_RATE)) ? BurnAlarm.Slow : BurnAlarm.None
}

function mergeRows (rows: readonly BurnRow[]): BurnRow[] {
  const groups = new Map<string, BurnRow[]>()
  rows.forEach(row => {
    const key = JSON.stringify([row.routeId, row.accountId])
    groups.set(key, [...groups.get(key) ?? [], row])
  })
  return [...groups.values()].map(sumRows)
}

function sumRows (rows: readonly BurnRow[]): BurnRow {
  const [first] = rows as [BurnRow]
  const counts = first.windows.map((_, i) => ({
    total: rows.reduce((sum, row) => sum + (row.windows[i]?.total ?? 0), 0),
    bad: rows.reduce((sum, row) => sum + (row.windows[i]?.bad ?? 0), 0)
  }))
  return burnRow(first.routeId, first.accountId, counts)
}
