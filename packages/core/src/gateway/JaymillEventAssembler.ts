import { EventForwarding, type ForwardableEvents } from './JaymillEventForwarding.js'

const NO_BYTES = Buffer.alloc(0)
const ID_LINE = /^id:[ ]?(.*)$/gm

/** Splits a stream of server-sent events at event boundaries, so that an incomplete event is never forwarded. */
export class EventAssembler extends EventForwarding {
  private _incomplete: Buffer[] = []
  private _pendingBytes = 0

  /** Buffered bytes of an incomplete event. */
  get pendingBytes (): number {
    return this._pendingBytes
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - Received bytes.
   * @returns Events that are now complete.
   */
  push (chunk: Buffer): ForwardableEvents {
    const end = this._scanner.scan(chunk)
    if (end === 0) {
      this._hold(chunk)
      return { bytes: NO_BYTES }
    }
    this._hold(chunk.subarray(0, end))
    const bytes = this.end()
    this._hold(chunk.subarray(end))
    const lastId = [...bytes.toString('latin1').matchAll(ID_LINE)].at(-1)?.[1]
    return lastId === undefined ? { bytes } : { bytes, lastId }
  }

  /** {@inheritDoc EventForwarding.end} */
  end (): Buffer {
    const bytes = Buffer.concat(this._incomplete)
    this._incomplete = []
    this._pendingBytes = 0
    return bytes
  }

  private _hold (bytes: Buffer): void {
    if (bytes.length === 0) return
    this._incomplete.push(bytes)
    this._pendingBytes += bytes.length
  }
}
