import { BurnAlarm, mergeBurnReports, type BurnReport } from '@jaymill/core'
import { ExitCode } from '../JaymillExitCode.js'
import { adminClients, positiveIntegerFlag, textFlag, type Flags } from '../JaymillFlags.js'
import { queryHosts } from '../JaymillHostResponses.js'
import type { Terminal } from '../JaymillTerminal.js'
import { burnHtml, burnSvg } from '../render/JaymillBurnPlot.js'
import { burnTable } from '../render/JaymillBurnTable.js'

const DEFAULT_ACCOUNT_LIMIT = 50

/**
 * Shows error budget burn rates, summed over the given hosts.
 *
 * @param flags - Admin flags, `limit`, `svg`, `html` and `json`.
 * @param terminal - Receives the report; plots are written to files.
 * @returns `Problems` when a route raises an alarm.
 */
export async function runBurn (flags: Flags, terminal: Terminal): Promise<ExitCode> {
  const limit = positiveIntegerFlag(flags, 'limit') ?? DEFAULT_ACCOUNT_LIMIT
  const [svg, html] = [textFlag(flags, 'svg'), textFlag(flags, 'html')]
  const { responses, exitCode } = await queryHosts<BurnReport>(adminClients(flags, terminal), `/burn?limit=${limit}`, terminal)
  const report = mergeBurnReports(responses.map(({ value }) => value), limit)
  if (svg !== undefined) terminal.write(svg, burnSvg(report))
  if (html !== undefined) terminal.write(html, burnHtml(report))
  terminal.print(flags.json === true ? JSON.stringify(report) : burnTable(report))
  if (exitCode !== ExitCode.Ok) return exitCode
  return report.routes.some(({ alarm }) => alarm !== BurnAlarm.None) ? ExitCode.Problems : ExitCode.Ok
}
