/** One figure, printed as a JSON line. */
export interface ModelLine {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** Largest allowed value; `null` for a figure without a target. */
  readonly bound: number | null
  /** Value without the mechanism that is measured, or `null`. */
  readonly baseline: number | null
  readonly ok: boolean
}

/**
 * Creates a line and checks the value against its bound.
 *
 * @param name - Name of the figure.
 * @param value - Measured value.
 * @param unit - Unit of the value.
 * @param bound - Largest allowed value, or `null`.
 * @param baseline - Value without the mechanism, or `null`.
 * @returns The line.
 */
export function modelLine (
  name: string, value: number, unit: string, bound: number | null = null, baseline: number | null = null
): ModelLine {
  return { name, value, unit, bound, baseline, ok: bound === null || value <= bound }
}
