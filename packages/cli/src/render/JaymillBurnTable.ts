import type { BurnReport, BurnRow } from '@jaymill/core'
import { textTable } from './JaymillTextTable.js'

const MINUTE_MS = 60_000
const HOUR_MS = 3_600_000

/**
 * Formats the length of a window.
 *
 * @param windowMs - Length of the window, in milliseconds.
 * @returns Text such as `5 min` or `6 h`.
 */
export function windowName (windowMs: number): string {
  return windowMs < HOUR_MS ? `${windowMs / MINUTE_MS} min` : `${windowMs / HOUR_MS} h`
}

/**
 * Renders a burn report as text.
 *
 * @param report - Burn report of one or several hosts.
 * @returns Tables of routes and accounts.
 */
export function burnTable (report: BurnReport): string {
  const budget = `A burn rate of 1 uses up exactly the error budget of ${report.errorBudgetShare * 100} % of requests.`
  if (report.routes.length === 0) return `No requests in any window.\n${budget}`
  return [
    rowsTable('route', report.routes, row => row.routeId),
    ...(report.accounts.length === 0 ? [] : ['', rowsTable('account on route', report.accounts, row => `${row.accountId} on ${row.routeId}`)]),
    '',
    budget
  ].join('\n')
}

function rowsTable (title: string, rows: readonly BurnRow[], nameOf: (row: BurnRow) => string): string {
  const windows = rows[0]?.windows ?? []
  const header = [title, 'alarm', ...windows.map(({ windowMs }) => `burn rate ${windowName(windowMs)} (bad/total)`)]
  return textTable(header, rows.map(row => [
    nameOf(row), row.alarm, ...row.windows.map(({ burnRate, bad, total }) => `${burnRate.toFixed(2)} (${bad}/${total})`)
  ]))
}
