/**
 * Formats rows as a table with aligned columns.
 *
 * @param header - Column titles.
 * @param rows - Cells of each row.
 * @returns Lines of the table; numbers are right-aligned.
 */
export function textTable (header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  const widths = header.map((title, i) => Math.max(title.length, ...rows.map(row => String(row[i] ?? '').length)))
  const line = (cells: ReadonlyArray<string | number>) => cells
    .map((cell, i) => typeof cell === 'number' ? String(cell).padStart(widths[i] ?? 0) : cell.padEnd(widths[i] ?? 0))
    .join('  ')
    .trimEnd()
  return [header, ...rows].map(line).join('\n')
}
