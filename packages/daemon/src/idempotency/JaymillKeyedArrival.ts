import { createHash } from 'node:crypto'
import type { KeyedRequest, RequestRecord, ServiceMatch } from '@jaymill/core'

/** One arrival of a request that must not run twice. */
export interface KeyedArrival {
  readonly requestId: string
  readonly accountId: string
  /** Key of the caller, or one that the entry host minted. */
  readonly key: string
  /** Whether this arrival is the only one that carries the key. */
  readonly minted: boolean
  /** Whether only memory is asked, and nothing may run. */
  readonly recall: boolean
  readonly match: ServiceMatch
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Record on the entry host. */
  readonly record?: RequestRecord
}

/**
 * Reduces an arrival to what the key owner compares.
 *
 * @param arrival - Arrival.
 * @returns Account, key and fingerprint of method, path and body.
 */
export function toKeyedRequest ({ accountId, key, method, path, body }: KeyedArrival): KeyedRequest {
  const fingerprint = createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64')
  return { scope: accountId, key, fingerprint }
}
