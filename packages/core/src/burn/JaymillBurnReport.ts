import {
  ERROR_BUDGET_SHARE, FAST_BURN_RATE, MIN_ALARM_REQUESTS, SLOW_BURN_RATE, WINDOWS_MS
} from './constants.js'
import type { WindowCount } from './JaymillWindowCounter.js'

/** How urgent a burn is. */
export enum BurnAlarm {
  None = 'none',
  /** The budget would last until it is used up, but is overspent over hours. */
  Slow = 'slow',
  /** The budget is being used up within hours. */
  Fast = 'fast'
}

/** Burn in one window. */
export interface BurnWindow extends WindowCount {
  readonly windowMs: number
  /** Share of bad requests over the error budget; 1 uses up the budget exactly. */
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

/** Burn of the service level. */
export interface BurnReport {
  /** Share of requests that may miss their targets. */
  readonly errorBudgetShare: number
  readonly routes: readonly BurnRow[]
  /** Accounts with the highest burn first; may be cut off. */
  readonly accounts: readonly BurnRow[]
}

/**
 * Builds a row from its counts.
 *
 * @param routeId - Route.
 * @param accountId - Account; `undefined` for the whole route.
 * @param counts - Requests per window, from the shortest.
 * @returns The row with burn rates and alarm.
 */
export function burnRow (routeId: string, accountId: string | undefined, counts: readonly WindowCount[]): BurnRow {
  const windows = counts.map((count, i) => burnWindow(WINDOWS_MS[i] ?? 0, count))
  return { routeId, ...(accountId === undefined ? {} : { accountId }), windows, alarm: alarmOf(windows) }
}

/**
 * Adds up the reports of several hosts.
 *
 * @param reports - One report per host.
 * @param accountLimit - Most account rows.
 * @returns One report; accounts that a host cut off are not counted for that host.
 */
export function mergeBurnReports (reports: readonly BurnReport[], accountLimit: number): BurnReport {
  return {
    errorBudgetShare: ERROR_BUDGET_SHARE,
    routes: mergeRows(reports.flatMap(report => report.routes)),
    accounts: mergeRows(reports.flatMap(report => report.accounts)).sort(byBurn).slice(0, accountLimit)
  }
}

/**
 * Orders rows by urgency.
 *
 * @param a - One row.
 * @param b - Another row.
 * @returns Negative when the first one burns faster.
 */
export function byBurn (a: BurnRow, b: BurnRow): number {
  const differences = a.windows.map((window, i) => (b.windows[i]?.burnRate ?? 0) - window.burnRate)
  return differences.find(difference => difference !== 0) ?? a.routeId.localeCompare(b.routeId)
}

function burnWindow (windowMs: number, { total, bad }: WindowCount): BurnWindow {
  return { windowMs, total, bad, burnRate: total === 0 ? 0 : bad / total / ERROR_BUDGET_SHARE }
}

function alarmOf (windows: readonly BurnWindow[]): BurnAlarm {
  const reaches = (rate: number) => (window: BurnWindow) => window.burnRate > rate && window.total >= MIN_ALARM_REQUESTS
  if (windows.slice(0, 2).every(reaches(FAST_BURN_RATE))) return BurnAlarm.Fast
  return windows.slice(1).every(reaches(SLOW_BURN_RATE)) ? BurnAlarm.Slow : BurnAlarm.None
}

function mergeRows (rows: readonly BurnRow[]): BurnRow[] {
  const groups = new Map<string, BurnRow[]>()
  rows.forEach(row => {
    const key = JSON.stringify([row.routeId, row.accountId])
    groups.set(key, [...groups.get(key) ?? [], row])
  })
  return [...groups.values()].map(addUp)
}

function addUp (rows: readonly BurnRow[]): BurnRow {
  const [first] = rows as [BurnRow]
  const counts = first.windows.map((_, i) => ({
    total: rows.reduce((sum, row) => sum + (row.windows[i]?.total ?? 0), 0),
    bad: rows.reduce((sum, row) => sum + (row.windows[i]?.bad ?? 0), 0)
  }))
  return burnRow(first.routeId, first.accountId, counts)
}
