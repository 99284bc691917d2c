import type { DocumentKey } from '../JaymillConfigSource.js'
import type { DocumentVersion } from './JaymillHeartbeatHandler.js'

/** Requests the versions of the documents that are active on a host. */
export interface HighWaterRequest {
  readonly from: string
  readonly incarnation: number
}

/** Response to a high-water request; hosts that are not ready yet send it too. */
export interface HighWaterResponse {
  readonly from: string
  readonly incarnation: number
  readonly documents: readonly DocumentVersion[]
}

/** Requests one document. */
export interface DocumentRequest {
  readonly key: DocumentKey
  /** Lowest acceptable revision. */
  readonly revision: number
}

/** Published document as one host sends it to another. */
export interface PublishedDocument {
  readonly key: DocumentKey
  readonly revision: number
  /** SHA-256 of `text`, in hexadecimal. */
  readonly digest: string
  readonly text: string
}

/** Handles requests of other hosts for published documents. */
export abstract class ConfigHandler {
  /**
   * Returns the versions of the active documents.
   *
   * @param request - Validated request of another host.
   * @param signal - Aborted when the requesting host disconnects.
   * @returns Versions of all documents that are active on this host.
   */
  abstract highWater (request: HighWaterRequest, signal: AbortSignal): Promise<HighWaterResponse>

  /**
   * Returns a document.
   *
   * @param request - Validated request of another host.
   * @param signal - Aborted when the requesting host disconnects.
   * @returns The active document, or `null` when its revision is lower than requested.
   */
  abstract document (request: DocumentRequest, signal: AbortSignal): Promise<PublishedDocument | null>
}
