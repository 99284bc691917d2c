/** Documents the platform publishes. */
export enum PlatformKey {
  Fleet = 'fleet',
  Hosts = 'hosts'
}

/** One published value. */
export interface PlatformValue {
  /** Rises with every change of the value, as the platform counts it. */
  readonly index: number
  readonly text: string
}

/** Read-only access to what operators publish. */
export abstract class PlatformReader {
  /**
   * Reads the value, then yields it again after each change.
   *
   * @param key - Document to watch.
   * @param signal - Ends the watch.
   * @returns Values in the order seen; an unreachable platform is retried, never reported as a value.
   */
  abstract watch (key: PlatformKey, signal: AbortSignal): AsyncIterable<PlatformValue>
}
