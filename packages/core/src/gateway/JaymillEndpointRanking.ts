import type { Random } from '../ports/JaymillRandom.js'
import { CROSS_ZONE_PENALTY_MS, FAILURE_PENALTY_MS, RANKING_JITTER_MS } from './constants.js'
import type { Outstanding } from './JaymillEndpointLoad.js'
import type { EndpointRecord } from './JaymillEndpointRecord.js'

/** What is known of an endpoint when work is placed. */
export interface Candidate {
  readonly record: EndpointRecord
  readonly work: Outstanding
  /** Time that one unit of work takes when the endpoint is idle, in milliseconds. */
  readonly unitMs: number
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number
  /** Whether it was found unreachable a short time ago. */
  readonly suspect: boolean
}

/** Where a request is to be placed from. */
export interface Placement {
  /** Availability zone of this host. */
  readonly zone: string
  /** Prompt tokens that the endpoint will read; 0 for requests without a prompt. */
  readonly tokens: number
}

/** Orders endpoints for one request, best first. */
export abstract class EndpointRanking {
  /**
   * @param candidates - Endpoints that may get the work.
   * @param placement - What is to be placed.
   * @param random - Source of randomness.
   * @returns Records from the first choice on; suspects come last.
   */
  rank (candidates: readonly Candidate[], placement: Placement, random: Random): readonly EndpointRecord[] {
    return candidates
      .map(candidate => ({ candidate, cost: this._costMs(candidate, placement) + random.next() * RANKING_JITTER_MS }))
      .sort((a, b) => Number(a.candidate.suspect) - Number(b.candidate.suspect) || a.cost - b.cost)
      .map(({ candidate }) => candidate.record)
  }

  protected abstract _costMs (candidate: Candidate, placement: Placement): number
}

/** Baseline: fewest requests first. */
export class LeastRequestsRanking extends EndpointRanking {
  protected override _costMs ({ work }: Candidate): number {
    return work.requests * RANKING_JITTER_MS
  }
}

/** Expected time to the answer of a request that shares an endpoint's slots with others. */
export class SharedSlotsRanking extends EndpointRanking {
  protected override _costMs (candidate: Candidate, { zone }: Placement): number {
    const { record, work, unitMs, failureShare } = candidate
    const rounds = Math.floor(work.requests / Math.max(1, record.slots))
    const crowding = work.requests / Math.max(1, record.slots)
    return unitMs * (1 + rounds + crowding) + failureShare * FAILURE_PENALTY_MS + distanceMs(record, zone)
  }
}

/** Expected time that all tokens at an engine take together with those of this request. */
export class TokenQueueRanking extends EndpointRanking {
  protected override _costMs (candidate: Candidate, { zone, tokens }: Placement): number {
    const { record, work, unitMs, failureShare } = candidate
    return (work.tokens + tokens) * unitMs + failureShare * FAILURE_PENALTY_MS + distanceMs(record, zone)
  }
}

function distanceMs (record: EndpointRecord, zone: string): number {
  return record.zone === zone ? 0 : CROSS_ZONE_PENALTY_MS
}
