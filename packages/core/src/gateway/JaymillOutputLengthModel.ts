import { OUTPUT_LENGTH_PRIOR_SAMPLES, OUTPUT_LENGTH_PRIOR_VARIANCE } from './constants.js'

/**
 * Estimates the length of outputs from the callers' hints. Hints are right at the median but often far off, so an output whose
 * hint is long is on average shorter than its hint, and one whose hint is short is longer. The model learns by how much from a
 * regression of the logarithms of output sizes on those of the hints; before it has samples, it returns the hints themselves.
 */
export class OutputLengthModel {
  private _n = 0
  private _hints = 0
  private _sizes = 0
  private _hintsSquared = 0
  private _products = 0

  /**
   * Adds a completed output.
   *
   * @param hintTokens - Hint of its caller, in tokens.
   * @param bytes - Size of the output, in bytes; its ratio to the number of tokens cancels out.
   */
  add (hintTokens: number, bytes: number): void {
    if (hintTokens <= 0 || bytes <= 0) return
    const hint = Math.log(hintTokens)
    const size = Math.log(bytes)
    this._n += 1
    this._hints += hint
    this._sizes += size
    this._hintsSquared += hint * hint
    this._products += hint * size
  }

  /**
   * @param hintTokens - Hint of the caller, in tokens.
   * @returns Expected length of the output, in tokens.
   */
  expectedTokens (hintTokens: number): number {
    if (this._n === 0 || hintTokens <= 0) return hintTokens
    const meanHint = this._hints / this._n
    return Math.exp(meanHint + this._slope(meanHint) * (Math.log(hintTokens) - meanHint))
  }

  /** Slope of the regression, drawn towards 1 while there are few samples. */
  private _slope (meanHint: number): number {
    const variance = this._hintsSquared - this._n * meanHint * meanHint
    const covariance = this._products - meanHint * this._sizes
    const prior = OUTPUT_LENGTH_PRIOR_SAMPLES * OUTPUT_LENGTH_PRIOR_VARIANCE
    return Math.min(1, Math.max(0, (covariance + prior) / (variance + prior)))
  }
}
