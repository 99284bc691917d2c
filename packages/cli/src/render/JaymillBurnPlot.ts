import type { BurnReport, BurnRow } from '@jaymill/core'
import { burnTable, windowName } from './JaymillBurnTable.js'

const LABEL_PX = 260
const BARS_PX = 560
const BAR_PX = 12
const GAP_PX = 14
const TOP_PX = 48
const MIN_SCALE = 2
const COLOURS = ['#b3342d', '#d98e2b', '#3f6fa3']

/**
 * Draws burn rates as bars: one group per route or account, one bar per window, and a line at burn rate 1, which uses up
 * exactly the error budget.
 *
 * @param report - Burn report of one or several hosts.
 * @returns SVG document.
 */
export function burnSvg (report: BurnReport): string {
  const rows = [...report.routes, ...report.accounts]
  const scale = Math.max(MIN_SCALE, ...rows.flatMap(row => row.windows.map(({ burnRate }) => burnRate)))
  const groupPx = (rows[0]?.windows.length ?? 0) * BAR_PX + GAP_PX
  const height = TOP_PX + rows.length * groupPx + GAP_PX
  const budgetX = LABEL_PX + BARS_PX / scale
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${LABEL_PX + BARS_PX + 90}" height="${height}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="#fff"/>',
    ...legend(report.routes[0] ?? report.accounts[0]),
    ...rows.flatMap((row, i) => barGroup(row, TOP_PX + i * groupPx, scale)),
    `<line x1="${budgetX}" y1="${TOP_PX - 8}" x2="${budgetX}" y2="${height}" stroke="#222" stroke-dasharray="3 3"/>`,
    `<text x="${budgetX + 3}" y="${TOP_PX - 10}">burn rate 1</text>`,
    '</svg>'
  ].join('\n')
}

/**
 * Renders an HTML page with the plot and the table.
 *
 * @param report - Burn report of one or several hosts.
 * @returns HTML document without scripts.
 */
export function burnHtml (report: BurnReport): string {
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Error budget burn rates</title></head><body>',
    '<h1>Error budget burn rates</h1>', burnSvg(report), `<pre>${escapeXml(burnTable(report))}</pre>`, '</body></html>'
  ].join('\n')
}

function legend (row: BurnRow | undefined): string[] {
  return (row?.windows ?? []).map(({ windowMs }, i) =>
    `<text x="${8 + i * 70}" y="16" fill="${COLOURS[i] ?? '#222'}">■ ${windowName(windowMs)}</text>`)
}

function barGroup (row: BurnRow, top: number, scale: number): string[] {
  const name = row.accountId === undefined ? row.routeId : `${row.accountId} on ${row.routeId}`
  const bars = row.windows.flatMap(({ burnRate, bad, total }, i) => {
    const y = top + i * BAR_PX
    const width = BARS_PX * burnRate / scale
    return [
      `<rect x="${LABEL_PX}" y="${y}" width="${width.toFixed(1)}" height="${BAR_PX - 2}" fill="${COLOURS[i] ?? '#222'}"/>`,
      `<text x="${(LABEL_PX + width + 4).toFixed(1)}" y="${y + BAR_PX - 3}">${burnRate.toFixed(2)} (${bad}/${total})</text>`
    ]
  })
  return [`<text x="8" y="${top + BAR_PX}" font-weight="bold">${escapeXml(name)} [${row.alarm}]</text>`, ...bars]
}

function escapeXml (text: string): string {
  return text.replace(/[<>&"']/g, char => `&#${char.charCodeAt(0)};`)
}
