import type { Random } from '../ports/JaymillRandom.js'

/** An endpoint to choose from and the state that the choice depends on. */
export interface EndpointCandidate {
  readonly endpointId: string
  readonly zone: string
  readonly slots: number
  /** Slots in use according to the newest information, which may be out of date. */
  readonly usedSlots: number
  /** Share of work that it should get because of its health, 0 to 1; 0 excludes it. */
  readonly weight: number
  /** Time that cached prefixes save, in milliseconds; 0 when the cache contents are unknown. */
  readonly savedMs: number
}

/** Request to choose an endpoint for. */
export interface ChoiceRequest {
  /** Availability zone of the choosing host. */
  readonly zone: string
  /** Expected time on an idle endpoint, in milliseconds. */
  readonly expectedMs: number
}

/** Orders endpoints by preference for one request. */
export abstract class EndpointChooser {
  /**
   * Orders endpoints for one request.
   *
   * @param candidates - Endpoints to choose from.
   * @param req - Request to place.
   * @param random - Source of randomness.
   * @returns Endpoint ids, most preferred first.
   */
  abstract order (candidates: readonly EndpointCandidate[], req: ChoiceRequest, random: Random): readonly string[]
}

/**
 * Sorts candidates by a cost that is computed once for each of them.
 *
 * @param candidates - Endpoints to sort.
 * @param costOf - Cost of a candidate; the lowest comes first.
 * @returns Endpoint ids, lowest cost first.
 */
export function sortByCost (
  candidates: readonly EndpointCandidate[], costOf: (candidate: EndpointCandidate) => number
): readonly string[] {
  return candidates
    .map(candidate => ({ id: candidate.endpointId, cost: costOf(candidate) }))
    .sort((a, b) => a.cost - b.cost || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id)
}
