/** Times by which the pace of an endpoint is judged. */
export enum PaceMeasure {
  /** First token, first byte, or a whole prefill. */
  FirstToken = 'first-token',
  InterToken = 'inter-token'
}

/** One observed time. */
export interface PaceObservation {
  readonly endpointId: string
  readonly measure: PaceMeasure
  /** In milliseconds. */
  readonly observedMs: number
  /** What the request itself lets expect, in milliseconds; it takes out the size of the prompt. */
  readonly expectedMs: number
}
