/** Properties of an item that a fair queue needs. */
export interface FairItem {
  readonly id: string
  readonly accountId: string
  /** Share of capacity relative to other accounts; greater than 0. */
  readonly weight: number
  /** Expected prompt and output tokens. */
  readonly tokens: number
}

interface TaggedItem<Item> {
  readonly item: Item
  readonly startTag: number
}

/** Queue that shares service between accounts by weighted tokens (start-time fair queueing, Goyal et al., 1996). */
export class FairQueue<Item extends FairItem> {
  private readonly _finishTags = new Map<string, number>()
  private readonly _pending = new Map<string, TaggedItem<Item>>()
  private _queue: readonly TaggedItem<Item>[] = []
  private _virtualTime = 0

  /**
   * @returns Number of queued items.
   */
  get size (): number {
    return this._queue.length
  }

  /**
   * Queues an item.
   *
   * @param item - Item to queue.
   */
  push (item: Item): void {
    const startTag = this._startTag(item)
    this._finishTags.set(item.accountId, startTag + item.tokens / item.weight)
    this._insert({ item, startTag })
  }

  /**
   * Takes the next item; it must be settled by `requeue` or `markDone`.
   *
   * @returns The item with the smallest start tag, or `undefined` when the queue is empty.
   */
  take (): Item | undefined {
    const [first, ...rest] = this._queue
    if (first === undefined) return undefined
    this._queue = rest
    this._pending.set(first.item.id, first)
    return first.item
  }

  /**
   * Returns a taken item to its former position.
   *
   * @param id - Id of the item.
   */
  requeue (id: string): void {
    const tagged = this._pending.get(id)
    if (tagged === undefined) return
    this._pending.delete(id)
    this._insert(tagged)
  }

  /**
   * Settles a taken item that was served or dropped.
   *
   * @param id - Id of the item.
   */
  markDone (id: string): void {
    const tagged = this._pending.get(id)
    this._pending.delete(id)
    this._virtualTime = Math.max(this._virtualTime, tagged?.startTag ?? 0)
    if (this._queue.length === 0 && this._pending.size === 0) this._finishTags.clear()
  }

  /**
   * Removes queued items.
   *
   * @param matches - Selects the items to remove.
   * @returns The removed items.
   */
  remove (matches: (item: Item) => boolean): readonly Item[] {
    const removed = this._queue.filter(({ item }) => matches(item))
    if (removed.length > 0) this._queue = this._queue.filter(({ item }) => !matches(item))
    return removed.map(({ item }) => item)
  }

  /**
   * Counts the queued items that would be served before an item.
   *
   * @param item - Item that might be pushed.
   * @returns Number of items ahead of it.
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
    const position = index === -1 ? this._queue.length : index
    this._queue = [...this._queue.slice(0, position), tagged, ...this._queue.slice(position)]
  }
}
