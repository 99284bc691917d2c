import type { Random } from '../ports/JaymillRandom.js'
import { CROSS_ZONE_PENALTY_MS, FAILURE_PENALTY_MS, RANKING_JITTER_MS } from './constants.js'
import type { Outstanding } from './JaymillEndpointLoad.js'
import type { EndpointRecord } from './JaymillEndpointRecord.js'

/** What is known of an endpoint when work is placed. */
export interface Candidate {
  readonly record: EndpointRecord
  readonly work: Outstanding
  /** Expected time of the request there, behind the work that is under way, in milliseconds. */
  readonly expectedMs: number
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number
  /** Whether it was found unreachable a short time ago. */
  readonly suspect: boolean
}

/** Orders endpoints for one request, best first. */
export abstract class EndpointRanking {
  /**
   * @param candidates - Endpoints that may get the work.
   * @param zone - Availability zone of this host.
   * @param random - Source of randomness.
   * @returns Records from the first choice on; suspects come last.
   */
  rank (candidates: readonly Candidate[], zone: string, random: Random): readonly EndpointRecord[] {
    return candidates
      .map(candidate => ({ candidate, cost: this._costMs(candidate, zone) + random.next() * RANKING_JITTER_MS }))
      .sort((a, b) => Number(a.candidate.suspect) - Number(b.candidate.suspect) || a.cost - b.cost)
      .map(({ candidate }) => candidate.record)
  }

  protected abstract _costMs (candidate: Candidate, zone: string): number
}

/** Baseline: fewest requests first. */
export class LeastRequestsRanking extends EndpointRanking {
  protected override _costMs ({ work }: Candidate): number {
    return work.requests * RANKING_JITTER_MS
  }
}

/** Expected time first; failures and distance count as time. */
export class ExpectedTimeRanking extends EndpointRanking {
  protected override _costMs ({ record, expectedMs, failureShare }: Candidate, zone: string): number {
    return expectedMs + failureShare * FAILURE_PENALTY_MS + (record.zone === zone ? 0 : CROSS_ZONE_PENALTY_MS)
  }
}
