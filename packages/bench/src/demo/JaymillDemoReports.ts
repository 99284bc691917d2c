const PARTS = ['front point', 'secondary point', 'heel bail', 'toe bail', 'anti-balling plate', 'linking bar', 'rivet row']
const FINDINGS = ['rounded by 2 mm', 'burred on the left edge', 'sound', 'bent outward by a degree', 'rusted at the weld']
const LINES = 60

/**
 * Creates a prompt that contains a long wear report.
 *
 * @param seed - Number of the report; the same number gives the same text.
 * @returns The prompt.
 */
export function wearReport (seed: number): string {
  const lines = Array.from({ length: LINES }, (_, i) => (
    `Pair ${seed + 1}, point ${i + 1}: ${PARTS[(seed + i) % PARTS.length]} ${FINDINGS[(seed * 3 + i * 7) % FINDINGS.length]}.`
  ))
  return ['Wear report from a workshop. Write the grind plan and the verdict.', ...lines, 'Plan:'].join('\n')
}
