import { MAX_LABEL_VALUES } from './constants.js'

const OTHER = 'other'

/** Limits the number of different values of one label. */
export class BoundedLabel {
  private readonly _values = new Set<string>()
  private readonly _capacity: number

  /**
   * @param capacity - Maximum number of different values.
   */
  constructor (capacity: number = MAX_LABEL_VALUES) {
    this._capacity = capacity
  }

  /**
   * Replaces values beyond the limit.
   *
   * @param value - Value of the label.
   * @returns The value, or `other` when it is new and the limit has been reached.
   */
  limit (value: string): string {
    if (this._values.has(value)) return value
    if (this._values.size >= this._capacity) return OTHER
    this._values.add(value)
    return value
  }
}
