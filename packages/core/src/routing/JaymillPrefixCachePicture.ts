import { CacheEvent, CacheEventKind } from '../ports/JaymillEngineClient.js'

interface EndpointCache {
  readonly seq: number
  /** Whether every event since the engine's start was seen. */
  readonly complete: boolean
  readonly prefixes: Set<string>
}

const FIRST_SEQ = 1

/** Prefixes that engines hold, as far as their events tell. */
export class PrefixCachePicture {
  private readonly _caches = new Map<string, EndpointCache>()
  private readonly _maxPrefixes: number

  /**
   * @param maxPrefixes - Prefixes kept for one endpoint; beyond it the picture starts anew as unknown.
   */
  constructor (maxPrefixes: number) {
    this._maxPrefixes = maxPrefixes
  }

  /**
   * Takes an event in. After a gap nothing counts as cached but what is stored from then on.
   *
   * @param endpointId - Endpoint the event comes from.
   * @param event - Event in the order received; a first sequence number means that the engine was restarted.
   */
  apply (endpointId: string, event: CacheEvent): void {
    const before = this._caches.get(endpointId)
    if (before !== undefined && event.seq <= before.seq && event.seq !== FIRST_SEQ) return
    const restarted = event.seq === FIRST_SEQ
    const unbroken = !restarted && before !== undefined && event.seq === before.seq + 1 && before.prefixes.size < this._maxPrefixes
    const prefixes = unbroken ? before.prefixes : new Set<string>()
    if (event.kind === CacheEventKind.Stored) prefixes.add(event.prefix)
    else prefixes.delete(event.prefix)
    this._caches.set(endpointId, { seq: event.seq, complete: restarted || (unbroken && before.complete), prefixes })
  }

  /**
   * Forgets an endpoint that was restarted or removed.
   *
   * @param endpointId - Endpoint to forget.
   */
  forget (endpointId: string): void {
    this._caches.delete(endpointId)
  }

  /**
   * Counts the leading blocks of a prompt that an endpoint holds.
   *
   * @param endpointId - Endpoint asked about.
   * @param prefixes - Prefixes of the prompt from the shortest to the longest.
   * @returns The count, or `null` when nothing is known of the first block.
   */
  cachedBlocks (endpointId: string, prefixes: readonly string[]): number | null {
    const cache = this._caches.get(endpointId)
    const miss = prefixes.findIndex(prefix => cache?.prefixes.has(prefix) !== true)
    if (miss === 0 && cache?.complete !== true) return null
    return miss === -1 ? prefixes.length : miss
  }
}
