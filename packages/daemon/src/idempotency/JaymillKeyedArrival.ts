import { createHash } from 'node:crypto'
import type { KeyedRequest, RequestRecord, ServiceMatch } from '@jaymill/core'

/** One arrival of a request that must run at most once; a retry is another arrival with the same key. */
export interface KeyedArrival {
  readonly requestId: string
  readonly accountId: string
  /** Key sent by the caller, or minted by the entry host. */
  readonly key: string
  /** Whether the entry host minted the key, so that no other arrival has it. */
  readonly minted: boolean
  /** Whether only a recorded outcome is looked up; the request must not run. */
  readonly recall: boolean
  /** Whether another host forwarded the arrival and receives the response. */
  readonly forwarded: boolean
  readonly match: ServiceMatch
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  /** Record of the request; set only on the entry host. */
  readonly record?: RequestRecord
}

/**
 * Builds the identity by which the key owner recognizes a request.
 *
 * @param arrival - Arrival.
 * @returns Account, key and fingerprint of method, path and body.
 */
export function toKeyedRequest ({ accountId, key, method, path, body }: KeyedArrival): KeyedRequest {
  const fingerprint = createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64')
  return { scope: accountId, key, fingerprint }
}
