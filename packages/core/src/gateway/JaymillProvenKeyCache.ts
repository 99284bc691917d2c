import { MAX_PROVEN_KEYS, PROOF_TTL_MS } from './constants.js'

/** Set of keys, such as a `Set` or the keys of a `Map`. */
export interface KeySet {
  /**
   * @param key - A key.
   * @returns Whether the set contains it.
   */
  has (key: string): boolean
}

/** Keys of requests that engines have run without crashing, with the time of the latest proof: bounded state. */
export class ProvenKeyCache {
  private readonly _provenMs = new Map<string, number>()

  /** Number of keys. */
  get size (): number {
    return this._provenMs.size
  }

  /**
   * Records a proof. If there are too many keys, the least recently proven one that is not pinned is removed.
   *
   * @param key - The proven key.
   * @param provenMs - Monotonic time of the proof in milliseconds.
   * @param pinned - Keys to keep because crashes would count against them otherwise.
   */
  add (key: string, provenMs: number, pinned: KeySet): void {
    const latestMs = Math.max(provenMs, this._provenMs.get(key) ?? provenMs)
    this._touch(key, latestMs)
    if (this._provenMs.size > MAX_PROVEN_KEYS) this._removeOldest(pinned)
  }

  /**
   * @param key - A key.
   * @returns Monotonic time of its latest proof in milliseconds, `undefined` if it is not proven.
   */
  provenMs (key: string): number | undefined {
    return this._provenMs.get(key)
  }

  /**
   * @param key - A key.
   * @param crashMs - Monotonic time of a crash in milliseconds.
   * @returns Whether the crash does not count against the key.
   */
  clears (key: string, crashMs: number): boolean {
    const provenMs = this._provenMs.get(key)
    return provenMs !== undefined && isCleared(crashMs, provenMs)
  }

  private _removeOldest (pinned: KeySet): void {
    const oldest = this._skipPinned(pinned) ?? this._provenMs.keys().next().value
    if (oldest !== undefined) this._provenMs.delete(oldest)
  }

  /** Moves the pinned keys that it meets to the end, so that the next removals do not meet them again. */
  private _skipPinned (pinned: KeySet): string | undefined {
    let skipped = 0
    for (const [key, provenMs] of this._provenMs) {
      if (!pinned.has(key)) return key
      if (++skipped === this._provenMs.size) return undefined
      this._touch(key, provenMs)
    }
  }

  private _touch (key: string, provenMs: number): void {
    this._provenMs.delete(key)
    this._provenMs.set(key, provenMs)
  }
}

/**
 * @param crashMs - Monotonic time of a crash in milliseconds.
 * @param provenMs - Monotonic time of a proof in milliseconds.
 * @returns Whether the crash does not count against the proven key. Crashes before the proof never do.
 */
export function isCleared (crashMs: number, provenMs: number): boolean {
  return crashMs < provenMs + PROOF_TTL_MS
}
