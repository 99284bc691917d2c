import type { Random } from '../ports/JaymillRandom.js'
import { byCost, ChoiceRequest, EndpointChooser, EndpointFacts } from './JaymillEndpointChooser.js'
import { COST_JITTER_MS, CROSS_ZONE_COST_MS, LOAD_COST_SHARE } from './JaymillRoutingConstants.js'

/**
 * Expected cost of one endpoint.
 *
 * Load, distance and a cached prefix are all counted in milliseconds, so that a prefix is worth exactly the time it
 * saves and no more than the load it adds. Health divides the time: at weight 0.5 everything takes twice as long.
 *
 * @param fact - What is known of the endpoint.
 * @param req - What is to be placed.
 * @returns Cost in milliseconds; infinite at weight 0.
 */
export function endpointCostMs (fact: EndpointFacts, req: ChoiceRequest): number {
  if (fact.weight <= 0) return Number.POSITIVE_INFINITY
  const load = Math.max(0, fact.usedSlots / fact.slots)
  const runMs = Math.max(0, req.expectedMs - fact.savedMs)
  const loadMs = load * req.expectedMs * LOAD_COST_SHARE
  const fullMs = load >= 1 ? req.expectedMs : 0
  const distanceMs = fact.zone === req.zone ? 0 : CROSS_ZONE_COST_MS
  return (runMs + loadMs + fullMs) / fact.weight + distanceMs
}

/** Orders endpoints by expected cost in milliseconds; the owner's ledger has the last word. */
export class CostChooser extends EndpointChooser {
  /** {@inheritDoc EndpointChooser.order} */
  order (facts: readonly EndpointFacts[], req: ChoiceRequest, random: Random): readonly string[] {
    const usable = facts.filter(fact => fact.weight > 0)
    return byCost(usable, fact => endpointCostMs(fact, req) + random.next() * COST_JITTER_MS)
  }
}
