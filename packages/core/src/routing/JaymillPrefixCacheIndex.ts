import { CacheEvent, CacheEventKind } from '../ports/JaymillEngineClient.js'

interface EndpointCache {
  readonly seq: number
  /** Whether every event since the engine's start was received. */
  readonly complete: boolean
  readonly prefixes: Set<string>
}

const FIRST_SEQ = 1

/** Index of the prefixes that engines have cached, built from their cache events. */
export class PrefixCacheIndex {
  private readonly _caches = new Map<string, EndpointCache>()
  private readonly _maxPrefixes: number

  /**
   * @param maxPrefixes - Maximum prefixes per endpoint; beyond it, the index of the endpoint is cleared and its cache contents
   * count as unknown again.
   */
  constructor (maxPrefixes: number) {
    this._maxPrefixes = maxPrefixes
  }

  /**
   * Applies an event. After a gap, only prefixes that are stored from then on count as cached.
   *
   * @param endpointId - Endpoint the event comes from.
   * @param event - Event in the order received; the first sequence number means that the engine was restarted.
   */
  apply (endpointId: string, event: CacheEvent): void {
    const previous = this._caches.get(endpointId)
    if (previous !== undefined && event.seq <= previous.seq && event.seq !== FIRST_SEQ) return
    const restarted = event.seq === FIRST_SEQ
    const contiguous = !restarted && previous !== undefined && event.seq === previous.seq + 1 &&
      previous.prefixes.size < this._maxPrefixes
    const prefixes = contiguous ? previous.prefixes : new Set<string>()
    if (event.kind === CacheEventKind.Stored) prefixes.add(event.prefix)
    else prefixes.delete(event.prefix)
    this._caches.set(endpointId, { seq: event.seq, complete: restarted || (contiguous && previous.complete), prefixes })
  }

  /**
   * Removes the prefixes of an endpoint that was restarted or removed.
   *
   * @param endpointId - Endpoint to remove.
   */
  forget (endpointId: string): void {
    this._caches.delete(endpointId)
  }

  /**
   * Counts the leading blocks of a prompt that an endpoint has cached.
   *
   * @param endpointId - Endpoint to look up.
   * @param prefixes - Prefixes of the prompt, shortest first.
   * @returns The count, or `null` when it is unknown whether the first block is cached.
   */
  cachedBlocks (endpointId: string, prefixes: readonly string[]): number | null {
    const cache = this._caches.get(endpointId)
    const firstMiss = prefixes.findIndex(prefix => cache?.prefixes.has(prefix) !== true)
    if (firstMiss === 0 && cache?.complete !== true) return null
    return firstMiss === -1 ? prefixes.length : firstMiss
  }
}
