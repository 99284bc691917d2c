import type { Random } from '../ports/JaymillRandom.js'
import { CROSS_ZONE_PENALTY_MS, FAILURE_PENALTY_MS, RANKING_JITTER_MS } from './constants.js'
import type { OutstandingWork } from './JaymillEndpointLoad.js'
import type { EndpointRecord } from './JaymillEndpointRecord.js'

/** State of an endpoint that a request may be sent to. */
export interface Candidate {
  readonly record: EndpointRecord
  readonly work: OutstandingWork
  /** Expected duration of the request, including the work in progress ahead of it, in milliseconds. */
  readonly expectedMs: number
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number
  /** Whether it was unreachable a short time ago. */
  readonly suspect: boolean
}

/** Ranks endpoints for one request, best first. */
export abstract class EndpointRanking {
  /**
   * @param candidates - Endpoints that the request may be sent to.
   * @param zone - Availability zone of this host.
   * @param random - Source of randomness.
   * @returns Records in order of preference; suspects come last.
   */
  rank (candidates: readonly Candidate[], zone: string, random: Random): readonly EndpointRecord[] {
    return candidates
      .map(candidate => ({ candidate, cost: this._costMs(candidate, zone) + random.next() * RANKING_JITTER_MS }))
      .sort((a, b) => Number(a.candidate.suspect) - Number(b.candidate.suspect) || a.cost - b.cost)
      .map(({ candidate }) => candidate.record)
  }

  protected abstract _costMs (candidate: Candidate, zone: string): number
}

/** Baseline: ranks by the number of outstanding requests. */
export class LeastRequestsRanking extends EndpointRanking {
  protected override _costMs ({ work }: Candidate): number {
    return work.requests * RANKING_JITTER_MS
  }
}

/** Ranks by expected duration, with penalties for recent failures and for other availability zones. */
export class ExpectedTimeRanking extends EndpointRanking {
  protected override _costMs ({ record, expectedMs, failureShare }: Candidate, zone: string): number {
    return expectedMs + failureShare * FAILURE_PENALTY_MS + (record.zone === zone ? 0 : CROSS_ZONE_PENALTY_MS)
  }
}
