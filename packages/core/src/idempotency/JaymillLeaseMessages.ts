import { LeaseGroup } from './JaymillLeaseGroup.js'

/** Requests the revisions that a host has adopted; the response may confirm the sender's lease. */
export interface LeaseRequest {
  readonly from: string
  /** Incarnation of the requesting process. */
  readonly incarnation: number
  /** Sequence number of the request within the incarnation. */
  readonly seq: number
  /** Revisions whose groups the requesting host already has. */
  readonly known: readonly number[]
}

/** Reports which revisions a host has adopted and which may have been active. */
export interface LeaseResponse {
  readonly from: string
  /** Incarnation of the requesting process, copied from the request. */
  readonly incarnation: number
  /** Sequence number of the request. */
  readonly seq: number
  /** False while the responding host is recovering; such a response confirms nothing. */
  readonly recovered: boolean
  /** Revisions that the responding process adopted, ascending; those before `completeFrom` may be omitted. */
  readonly adopted: readonly number[]
  /** Highest revision known to have been active. */
  readonly floor: number
  /** From this revision on, `revisions` contains every revision that may have been active. */
  readonly completeFrom: number
  /** Revisions that may have been active. */
  readonly revisions: readonly number[]
  /** Groups of those revisions that the requesting host does not have. */
  readonly lists: readonly LeaseGroup[]
}

/** A lease request and the host to which it is sent. */
export interface AddressedLeaseRequest {
  readonly to: string
  readonly request: LeaseRequest
}
