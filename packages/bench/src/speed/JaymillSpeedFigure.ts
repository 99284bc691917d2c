/** One measured figure. */
export interface SpeedFigure {
  readonly name: string
  readonly value: number
  readonly unit: string
}

/**
 * Prints a figure as one JSON line.
 *
 * @param figure - Figure.
 */
export function printFigure (figure: SpeedFigure): void {
  const rounded = Number(figure.value.toPrecision(4))
  console.log(JSON.stringify({ ...figure, value: rounded }))
}

/**
 * @param values - At least one number.
 * @returns The median.
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN
}
