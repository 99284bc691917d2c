/** Schedule of a planned stop of this host. */
export interface PlannedStop {
  /** Monotonic time until which the load balancer may still send new connections, in milliseconds. */
  readonly acceptUntilMs: number
  /** Monotonic time at which the remaining connections are closed, in milliseconds. */
  readonly endMs: number
}
