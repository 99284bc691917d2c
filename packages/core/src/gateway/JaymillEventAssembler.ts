/** Bytes of whole events that may be passed on. */
export interface WholeEvents {
  /** Bytes up to the end of the last whole event; empty when none has ended. */
  readonly bytes: Buffer
  /** Id of the last whole event that had one. */
  readonly lastId?: string
}

const EVENT_END = Buffer.from('\n\n')
const ID_LINE = /^id:[ ]?(.*)$/gm

/** Cuts a stream of server-sent events at event ends (WHATWG HTML, "Server-sent events"), so that a broken event is never passed on. */
export class EventAssembler {
  private _rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event that has begun and not ended. */
  get pendingBytes (): number {
    return this._rest.length
  }

  /**
   * @param chunk - Bytes as they arrive.
   * @returns Whole events.
   */
  push (chunk: Buffer): WholeEvents {
    const all = this._rest.length === 0 ? chunk : Buffer.concat([this._rest, chunk])
    const end = all.lastIndexOf(EVENT_END)
    if (end === -1) {
      this._rest = all
      return { bytes: Buffer.alloc(0) }
    }
    const bytes = all.subarray(0, end + EVENT_END.length)
    this._rest = all.subarray(end + EVENT_END.length)
    const lastId = [...bytes.toString('latin1').matchAll(ID_LINE)].at(-1)?.[1]
    return lastId === undefined ? { bytes } : { bytes, lastId }
  }

  /**
   * @returns What is left when the stream has ended as complete.
   */
  end (): Buffer {
    const rest = this._rest
    this._rest = Buffer.alloc(0)
    return rest
  }
}
