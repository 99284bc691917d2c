import type { Random } from '../ports/JaymillRandom.js'

/** What a host knows of an endpoint when it chooses. */
export interface EndpointFacts {
  readonly endpointId: string
  readonly zone: string
  readonly slots: number
  /** Slots in use by the newest fact at hand; it may be late. */
  readonly usedSlots: number
  /** Share of work it should get by its health, 0 to 1; 0 takes it out. */
  readonly weight: number
  /** Time that cached prefixes save, in milliseconds; 0 when the cache picture is unknown. */
  readonly savedMs: number
}

/** A choice to be made. */
export interface ChoiceRequest {
  /** Availability zone of the choosing host. */
  readonly zone: string
  /** Expected time on an idle endpoint, in milliseconds. */
  readonly expectedMs: number
}

/** Orders endpoints by preference for one request. */
export abstract class EndpointChooser {
  /**
   * @param facts - Candidates.
   * @param req - What is to be placed.
   * @param random - Source of randomness.
   * @returns Ids from the first choice on.
   */
  abstract order (facts: readonly EndpointFacts[], req: ChoiceRequest, random: Random): readonly string[]
}

/**
 * Sorts candidates by a cost that is computed once for each.
 *
 * @param facts - Candidates.
 * @param costOf - Cost; the smallest comes first.
 * @returns Ids in order.
 */
export function byCost (facts: readonly EndpointFacts[], costOf: (fact: EndpointFacts) => number): readonly string[] {
  return facts
    .map(fact => ({ id: fact.endpointId, cost: costOf(fact) }))
    .sort((a, b) => a.cost - b.cost || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id)
}
