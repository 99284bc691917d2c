import { GroupList } from './JaymillGroupList.js'

/** Asks a host which revisions it has adopted. */
export interface LeaseQuestion {
  readonly from: string
  /** Incarnation of the asking process. */
  readonly incarnation: number
  /** Number of the question within the incarnation. */
  readonly seq: number
  /** Revisions whose lists the asking host already holds. */
  readonly known: readonly number[]
}

/** Tells which revisions a host has adopted and which may have been active. */
export interface LeaseAnswer {
  readonly from: string
  /** Incarnation of the asking process, as in the question. */
  readonly incarnation: number
  /** Number of the question. */
  readonly seq: number
  /** False while the answering host recovers; such an answer confirms nothing. */
  readonly recovered: boolean
  /** Revisions this process adopted, ascending; those before `completeFrom` may be left out. */
  readonly adopted: readonly number[]
  /** Highest revision known to have been active. */
  readonly floor: number
  /** First revision from which `revisions` holds all that may have been active. */
  readonly completeFrom: number
  /** Revisions that may have been active. */
  readonly revisions: readonly number[]
  /** Lists of those revisions that the asking host does not hold. */
  readonly lists: readonly GroupList[]
}

/** A question and the host it goes to. */
export interface AddressedQuestion {
  readonly to: string
  readonly question: LeaseQuestion
}
