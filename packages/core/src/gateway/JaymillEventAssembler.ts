/** Bytes of complete events that can be forwarded. */
export interface CompleteEvents {
  /** Bytes up to the end of the last complete event; empty when no event is complete. */
  readonly bytes: Buffer
  /** Id of the last complete event with an id. */
  readonly lastId?: string
}

const EVENT_END = Buffer.from('\n\n')
const ID_LINE = /^id:[ ]?(.*)$/gm

/**
 * Splits a stream of server-sent events at event boundaries (WHATWG HTML, "Server-sent events"), so that an incomplete event is
 * never forwarded.
 */
export class EventAssembler {
  private _incomplete: Buffer = Buffer.alloc(0)

  /** Buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this._incomplete.length
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - Received bytes.
   * @returns Events that are now complete.
   */
  push (chunk: Buffer): CompleteEvents {
    const buffered = this._incomplete.length === 0 ? chunk : Buffer.concat([this._incomplete, chunk])
    const end = buffered.lastIndexOf(EVENT_END)
    if (end === -1) {
      this._incomplete = buffered
      return { bytes: Buffer.alloc(0) }
    }
    const bytes = buffered.subarray(0, end + EVENT_END.length)
    this._incomplete = buffered.subarray(end + EVENT_END.length)
    const lastId = [...bytes.toString('latin1').matchAll(ID_LINE)].at(-1)?.[1]
    return lastId === undefined ? { bytes } : { bytes, lastId }
  }

  /**
   * Empties the buffer at the regular end of the stream.
   *
   * @returns Remaining bytes after the last complete event.
   */
  end (): Buffer {
    const incomplete = this._incomplete
    this._incomplete = Buffer.alloc(0)
    return incomplete
  }
}
