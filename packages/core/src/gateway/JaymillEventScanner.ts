const LF = 0x0a
const CR = 0x0d

/**
 * Finds the ends of server-sent events in bytes that arrive in chunks (WHATWG HTML, "Parsing an event stream"): an event ends with
 * an empty line, and a line with LF, CR or CRLF. Further empty lines and the LF of a CRLF that ends an event belong to no event.
 */
export class EventScanner {
  private _insideEvent = false
  private _insideLine = false
  private _afterCr = false
  private _events = 0

  /** Whether the bytes so far end inside an event. */
  get insideEvent (): boolean {
    return this._insideEvent
  }

  /** Number of events that have ended. */
  get events (): number {
    return this._events
  }

  /**
   * Reads the next bytes.
   *
   * @param chunk - Received bytes.
   * @returns Size of the part of the chunk after which no event is incomplete, in bytes; 0 when there is none.
   */
  scan (chunk: Uint8Array): number {
    let end = 0
    for (let i = 0; i < chunk.length; i += 1) {
      this._read(chunk[i] ?? 0)
      if (!this._insideEvent) end = i + 1
    }
    return end
  }

  private _read (byte: number): void {
    const endsCrLf = byte === LF && this._afterCr
    this._afterCr = byte === CR
    if (endsCrLf) return
    const endsLine = byte === LF || byte === CR
    const insideEvent = this._insideLine || !endsLine
    if (this._insideEvent && !insideEvent) this._events += 1
    this._insideEvent = insideEvent
    this._insideLine = !endsLine
  }
}
