import { MAX_LABEL_VALUES } from './constants.js'

const OTHER = 'other'

/** Keeps the number of values of one label bounded. */
export class BoundedLabel {
  private readonly _known = new Set<string>()
  private readonly _capacity: number

  /**
   * @param capacity - Most different values.
   */
  constructor (capacity: number = MAX_LABEL_VALUES) {
    this._capacity = capacity
  }

  /**
   * @param value - Value of the label.
   * @returns The value, or `other` when there are too many.
   */
  of (value: string): string {
    if (this._known.has(value)) return value
    if (this._known.size >= this._capacity) return OTHER
    this._known.add(value)
    return value
  }
}
