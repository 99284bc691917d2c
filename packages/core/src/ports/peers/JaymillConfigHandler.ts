import type { PlatformKey } from '../JaymillPlatformReader.js'
import type { DocumentMark } from './JaymillHeartbeatHandler.js'

/** Asks for the marks of the documents that a host knows. */
export interface HighWaterQuestion {
  readonly from: string
  readonly incarnation: number
}

/** Answer to a high-water question; also given by hosts that aren't ready yet. */
export interface HighWaterAnswer {
  readonly from: string
  readonly incarnation: number
  readonly documents: readonly DocumentMark[]
}

/** Asks for one document. */
export interface DocumentQuestion {
  readonly key: PlatformKey
  /** Lowest revision that is wanted. */
  readonly revision: number
}

/** Published document as one host passes it to another. */
export interface PublishedDocument {
  readonly key: PlatformKey
  readonly revision: number
  /** SHA-256 of `text`, in hexadecimal. */
  readonly digest: string
  readonly text: string
}

/** Passes published documents to other hosts. */
export abstract class ConfigHandler {
  /**
   * @param question - Checked question of another host.
   * @param signal - Aborts when the caller has gone.
   * @returns Marks of all documents in force here.
   */
  abstract highWater (question: HighWaterQuestion, signal: AbortSignal): Promise<HighWaterAnswer>

  /**
   * @param question - Checked question of another host.
   * @param signal - Aborts when the caller has gone.
   * @returns The document in force, or `null` when its revision is lower than wanted.
   */
  abstract document (question: DocumentQuestion, signal: AbortSignal): Promise<PublishedDocument | null>
}
