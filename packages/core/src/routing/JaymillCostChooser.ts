import type { Random } from '../ports/JaymillRandom.js'
import { ChoiceRequest, EndpointCandidate, EndpointChooser, sortByCost } from './JaymillEndpointChooser.js'
import { COST_JITTER_MS, CROSS_ZONE_PENALTY_MS, LOAD_COST_SHARE } from './JaymillRoutingConstants.js'

/**
 * Calculates the expected cost of one endpoint.
 *
 * Load, distance and a cached prefix are all expressed in milliseconds, so that a cached prefix is worth exactly the
 * time it saves and cannot outweigh a larger cost of load. An endpoint without a free slot costs the expected time once
 * more. The cost without the distance is divided by the health weight: at weight 0.5, it is twice as high.
 *
 * @param candidate - Endpoint and its state.
 * @param req - Request to place.
 * @returns Cost in milliseconds; infinite at weight 0.
 */
export function endpointCostMs (candidate: EndpointCandidate, req: ChoiceRequest): number {
  if (candidate.weight <= 0) return Number.POSITIVE_INFINITY
  const load = Math.max(0, candidate.usedSlots / candidate.slots)
  const runMs = Math.max(0, req.expectedMs - candidate.savedMs)
  const loadMs = load * req.expectedMs * LOAD_COST_SHARE
  const fullMs = load >= 1 ? req.expectedMs : 0
  const distanceMs = candidate.zone === req.zone ? 0 : CROSS_ZONE_PENALTY_MS
  return (runMs + loadMs + fullMs) / candidate.weight + distanceMs
}

/** Orders endpoints by expected cost in milliseconds; the owner's ledger makes the final decision. */
export class CostChooser extends EndpointChooser {
  /** {@inheritDoc EndpointChooser.order} */
  order (candidates: readonly EndpointCandidate[], req: ChoiceRequest, random: Random): readonly string[] {
    const usable = candidates.filter(candidate => candidate.weight > 0)
    return sortByCost(usable, candidate => endpointCostMs(candidate, req) + random.next() * COST_JITTER_MS)
  }
}
