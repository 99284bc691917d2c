/** What a fair queue needs to know of an item. */
export interface FairItem {
  readonly id: string
  readonly accountId: string
  /** Share of capacity relative to other accounts; greater than 0. */
  readonly weight: number
  /** Expected prompt and answer tokens. */
  readonly tokens: number
}

interface TaggedItem<Item> {
  readonly item: Item
  readonly startTag: number
}

/** Queue that shares service between accounts by weighted tokens (start-time fair queueing, Goyal et al., 1996). */
export class FairQueue<Item extends FairItem> {
  private readonly _finishTags = new Map<string, number>()
  private readonly _taken = new Map<string, TaggedItem<Item>>()
  private _queue: readonly TaggedItem<Item>[] = []
  private _virtualTime = 0

  /**
   * @returns Queued items.
   */
  get size (): number {
    return this._queue.length
  }

  /**
   * @param item - Item to be queued.
   */
  push (item: Item): void {
    const startTag = this._startTag(item)
    this._finishTags.set(item.accountId, startTag + item.tokens / item.weight)
    this._insert({ item, startTag })
  }

  /**
   * Takes the next item; it must be settled by `putBack` or `done`.
   *
   * @returns The item with the smallest start tag, or `undefined` when the queue is empty.
   */
  take (): Item | undefined {
    const [first, ...rest] = this._queue
    if (first === undefined) return undefined
    this._queue = rest
    this._taken.set(first.item.id, first)
    return first.item
  }

  /**
   * Returns a taken item to its former place.
   *
   * @param id - Id of the item.
   */
  putBack (id: string): void {
    const tagged = this._taken.get(id)
    if (tagged === undefined) return
    this._taken.delete(id)
    this._insert(tagged)
  }

  /**
   * Settles a taken item that was served or given up.
   *
   * @param id - Id of the item.
   */
  done (id: string): void {
    const tagged = this._taken.get(id)
    this._taken.delete(id)
    this._virtualTime = Math.max(this._virtualTime, tagged?.startTag ?? 0)
    if (this._queue.length === 0 && this._taken.size === 0) this._finishTags.clear()
  }

  /**
   * Removes queued items.
   *
   * @param matches - Which items to remove.
   * @returns The removed items.
   */
  remove (matches: (item: Item) => boolean): readonly Item[] {
    const removed = this._queue.filter(({ item }) => matches(item))
    if (removed.length > 0) this._queue = this._queue.filter(({ item }) => !matches(item))
    return removed.map(({ item }) => item)
  }

  /**
   * @param item - Item that might be pushed.
   * @returns Items that would be served before it.
   */
  ahead (item: Item): number {
    const startTag = this._startTag(item)
    return this._queue.filter(tagged => tagged.startTag <= startTag).length
  }

  private _startTag (item: Item): number {
    return Math.max(this._virtualTime, this._finishTags.get(item.accountId) ?? 0)
  }

  private _insert (tagged: TaggedItem<Item>): void {
    const index = this._queue.findIndex(other => other.startTag > tagged.startTag)
    const at = index === -1 ? this._queue.length : index
    this._queue = [...this._queue.slice(0, at), tagged, ...this._queue.slice(at)]
  }
}
