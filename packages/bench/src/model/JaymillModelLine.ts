/** One figure of a bench, as a JSON line. */
export interface ModelLine {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** Largest value allowed, or `null` where no target is stated. */
  readonly bound: number | null
  /** The same figure without the mechanism, or `null`. */
  readonly baseline: number | null
  readonly ok: boolean
}

/**
 * @param name - Name of the figure.
 * @param value - Value measured.
 * @param unit - Its unit.
 * @param bound - Largest value allowed.
 * @param baseline - The same figure without the mechanism.
 * @returns The line.
 */
export function modelLine (
  name: string, value: number, unit: string, bound: number | null = null, baseline: number | null = null
): ModelLine {
  return { name, value, unit, bound, baseline, ok: bound === null || value <= bound }
}
