/** One measured figure. */
export interface SpeedFigure {
  readonly name: string
  readonly value: number
  readonly unit: string
}

/**
 * Prints a figure as one JSON line, rounded to four digits.
 *
 * @param figure - Figure to print.
 */
export function printFigure (figure: SpeedFigure): void {
  const rounded = Number(figure.value.toPrecision(4))
  console.log(JSON.stringify({ ...figure, value: rounded }))
}

/**
 * Computes the median; of an even number of values, the upper one of the two in the middle.
 *
 * @param values - At least one number.
 * @returns The median, or `NaN` without values.
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN
}
