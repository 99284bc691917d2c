/** Latencies by which endpoints are compared. */
export enum LatencyMeasure {
  /** Time to the first token or byte, or of a whole prefill. */
  FirstToken = 'first-token',
  InterToken = 'inter-token'
}

/** One observed latency. */
export interface LatencyObservation {
  readonly endpointId: string
  readonly measure: LatencyMeasure
  /** Observed latency, in milliseconds. */
  readonly observedMs: number
  /** Latency expected of this request, in milliseconds; dividing by it removes the effect of the prompt length. */
  readonly expectedMs: number
}
