import type { EndpointChange, EndpointRecord, GatewayConfig } from '@jaymill/core'

/** Complete published state, as returned by one read. */
export interface FleetSnapshot {
  /** Absent when no configuration has been published. */
  readonly config?: GatewayConfig
  readonly endpoints: readonly EndpointRecord[]
  /** Revision of the state (`sourceRevision`); single entries may be newer. */
  readonly revision: number
}

/** Changes since a revision. */
export interface FleetChanges {
  /** Present when a configuration was published. */
  readonly config?: GatewayConfig
  readonly endpoints: readonly EndpointChange[]
  readonly revision: number
}

/** Configuration source: read access to the configuration and the endpoint records that operators and endpoints publish. */
export abstract class FleetSource {
  /**
   * Reads the complete published state.
   *
   * @param signal - Cancels the read.
   * @returns The complete state.
   * @throws SourceError when the state cannot be read.
   */
  abstract read (signal: AbortSignal): Promise<FleetSnapshot>

  /**
   * Waits for changes.
   *
   * @param revision - Revision after which changes are returned.
   * @param waitMs - Maximum time to wait, in milliseconds.
   * @param signal - Cancels the wait.
   * @returns The changes; empty after the maximum time; `undefined` when the source no longer has the history after the revision,
   * or was restored since.
   * @throws SourceError when the changes cannot be read.
   */
  abstract changes (revision: number, waitMs: number, signal: AbortSignal): Promise<FleetChanges | undefined>
}
