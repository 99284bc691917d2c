import { MAD_TO_SIGMA } from './constants.js'

/**
 * Computes the median.
 *
 * @param values - Numbers in any order.
 * @returns The median; `NaN` if there are no values.
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  if (sorted.length % 2 === 1) return sorted[middle] as number
  return ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2
}

/**
 * Estimates the standard deviation by the scaled median absolute deviation (Hampel, 1974).
 *
 * @param values - Numbers in any order.
 * @returns The estimate; `NaN` if there are no values.
 */
export function robustSigma (values: readonly number[]): number {
  const centre = median(values)
  return MAD_TO_SIGMA * median(values.map(value => Math.abs(value - centre)))
}

/** A value and its weight. */
export interface WeightedValue {
  readonly value: number
  readonly weight: number
}

/**
 * Computes the weighted median.
 *
 * @param items - Values with weights above 0.
 * @returns The weighted median; `NaN` if there are no values.
 */
export function weightedMedian (items: readonly WeightedValue[]): number {
  const sorted = [...items].sort((a, b) => a.value - b.value)
  const half = sorted.reduce((sum, item) => sum + item.weight, 0) / 2
  let sum = 0
  const medianItem = sorted.find(item => {
    sum += item.weight
    return sum >= half
  })
  return medianItem?.value ?? NaN
}
