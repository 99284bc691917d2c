import type { EndpointRecord, RunKeys } from '@jaymill/core'

/** One run of a request at an endpoint. */
export interface TrackedRun {
  readonly endpoint: EndpointRecord
  readonly keys: RunKeys
  /** Monotonic time of the first event of its response, in milliseconds; absent before. */
  firstEventMs?: number
  /** Monotonic time of the latest event, in milliseconds; absent before the first. */
  lastEventMs?: number
  /** Whether its events have proven its keys. */
  proven?: boolean
}
