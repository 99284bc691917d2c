import type { EndpointChange, EndpointRecord, GatewayConfig } from '@jaymill/core'

/** Everything that is published, as one read gives it. */
export interface FleetSnapshot {
  /** Absent when no configuration has been published. */
  readonly config?: GatewayConfig
  readonly endpoints: readonly EndpointRecord[]
  /** Revision that the read is at least as new as. */
  readonly revision: number
}

/** What has changed since a revision. */
export interface FleetChanges {
  /** Present when a configuration was published. */
  readonly config?: GatewayConfig
  readonly endpoints: readonly EndpointChange[]
  readonly revision: number
}

/** Read access to what operators and endpoints publish. */
export abstract class FleetSource {
  /**
   * @param signal - Ends the read.
   * @returns The whole state.
   * @throws SourceError when it can't be read.
   */
  abstract read (signal: AbortSignal): Promise<FleetSnapshot>

  /**
   * Waits for changes.
   *
   * @param revision - Revision after which to look.
   * @param waitMs - Longest wait, in milliseconds.
   * @param signal - Ends the wait.
   * @returns Changes; empty after the wait; `undefined` when the publisher no longer knows what came after the revision.
   * @throws SourceError when it can't be read.
   */
  abstract changes (revision: number, waitMs: number, signal: AbortSignal): Promise<FleetChanges | undefined>
}
