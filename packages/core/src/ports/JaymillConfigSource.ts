/** Documents that the configuration source publishes. */
export enum DocumentKey {
  Fleet = 'fleet',
  Hosts = 'hosts'
}

/** Published value of a document. */
export interface PublishedValue {
  /** Modification index of the source; increases with every change of the value. */
  readonly index: number
  readonly text: string
}

/** Read-only access to the documents that operators publish. */
export abstract class ConfigSource {
  /**
   * Yields the current value of a document, then its new value after each change.
   *
   * @param key - Document to watch.
   * @param signal - Ends the watch.
   * @returns Values in the order in which they are read; reads from an unreachable source are retried and yield no value.
   */
  abstract watch (key: DocumentKey, signal: AbortSignal): AsyncIterable<PublishedValue>
}
