import { EventForwarding, type ForwardableEvents } from './JaymillEventForwarding.js'

const NO_BYTES = Buffer.alloc(0)

/** Forwards the bytes of a stream that cannot be resumed as they arrive. */
export class EventPassThrough extends EventForwarding {
  /** {@inheritDoc EventForwarding.pendingBytes} */
  readonly pendingBytes = 0

  /** {@inheritDoc EventForwarding.push} */
  push (chunk: Buffer): ForwardableEvents {
    this._scanner.scan(chunk)
    return { bytes: chunk }
  }

  /** {@inheritDoc EventForwarding.end} */
  end (): Buffer {
    return NO_BYTES
  }
}
