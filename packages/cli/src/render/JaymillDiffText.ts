import type { FleetChange, FleetDiff } from '@jaymill/settings'

/**
 * Renders a fleet diff as text.
 *
 * @param diff - Difference between two fleet configurations.
 * @returns One line per change, changed field and risk.
 */
export function diffText (diff: FleetDiff): string {
  const changes = diff.changes.length === 0 ? ['no changes'] : diff.changes.flatMap(changeLines)
  const risks = diff.risks.map(({ kind, message }) => `RISK ${kind}: ${message}`)
  return [`revision ${diff.fromRevision} to ${diff.toRevision}`, ...changes, ...risks].join('\n')
}

function changeLines (change: FleetChange): string[] {
  const place = change.poolId === undefined ? '' : ` of pool ${change.poolId}`
  const fields = change.fields.map(({ field, from, to }) => `    ${field}: ${JSON.stringify(from)} to ${JSON.stringify(to)}`)
  return [`${change.change} ${change.subject} ${change.id}${place}`, ...fields]
}
