import { EventScanner } from './JaymillEventScanner.js'

/** Bytes of a stream that can be forwarded. */
export interface ForwardableEvents {
  /** The bytes; empty when nothing can be forwarded yet. */
  readonly bytes: Buffer
  /** Id of the last complete event with an id; only where the stream can be resumed. */
  readonly lastId?: string
}

/** Decides when the bytes of a stream of server-sent events are forwarded, and knows whether the stream ends inside an event. */
export abstract class EventForwarding {
  protected readonly _scanner = new EventScanner()

  /** Whether the bytes so far end inside an event; a stream that ends there has been broken off. */
  get insideEvent (): boolean {
    return this._scanner.insideEvent
  }

  /** Number of complete events so far. */
  get events (): number {
    return this._scanner.events
  }

  /** Bytes held back so far. */
  abstract get pendingBytes (): number

  /**
   * Adds received bytes.
   *
   * @param chunk - Received bytes.
   * @returns Bytes that can be forwarded now.
   */
  abstract push (chunk: Buffer): ForwardableEvents

  /**
   * Gives up the bytes held back at the end of a body that does not consist of events.
   *
   * @returns The bytes.
   */
  abstract end (): Buffer
}
