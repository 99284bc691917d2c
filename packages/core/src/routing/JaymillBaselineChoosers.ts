import type { Random } from '../ports/JaymillRandom.js'
import { byCost, ChoiceRequest, EndpointChooser, EndpointFacts } from './JaymillEndpointChooser.js'

/** Takes endpoints in turn. */
export class RoundRobinChooser extends EndpointChooser {
  private _turn = 0

  /** {@inheritDoc EndpointChooser.order} */
  order (facts: readonly EndpointFacts[]): readonly string[] {
    const ids = facts.map(fact => fact.endpointId)
    const first = this._turn++ % Math.max(1, ids.length)
    return [...ids.slice(first), ...ids.slice(0, first)]
  }
}

/** Takes the endpoint with the least load that is known, however late the report. */
export class LeastKnownLoadChooser extends EndpointChooser {
  /** {@inheritDoc EndpointChooser.order} */
  order (facts: readonly EndpointFacts[]): readonly string[] {
    return byCost(facts, fact => fact.usedSlots / fact.slots)
  }
}

/** Takes the less loaded of two random endpoints (Mitzenmacher, "The Power of Two Choices", 2001). */
export class PowerOfTwoChooser extends EndpointChooser {
  /** {@inheritDoc EndpointChooser.order} */
  order (facts: readonly EndpointFacts[], _req: ChoiceRequest, random: Random): readonly string[] {
    const shuffled = facts
      .map(fact => ({ fact, draw: random.next() }))
      .sort((a, b) => a.draw - b.draw)
      .map(({ fact }) => fact)
    const pair = byCost(shuffled.slice(0, 2), fact => fact.usedSlots / fact.slots)
    return [...pair, ...shuffled.slice(2).map(fact => fact.endpointId)]
  }
}

/**
 * Fixed share of an endpoint's slots for one host; the shares of all hosts add up to the slots.
 *
 * @param slots - Slots of the endpoint.
 * @param hosts - Number of hosts.
 * @param index - Position of the host in the list, from 0.
 * @returns Slots that the host may use without asking anyone.
 */
export function localShareSlots (slots: number, hosts: number, index: number): number {
  return Math.floor((index + 1) * slots / hosts) - Math.floor(index * slots / hosts)
}
