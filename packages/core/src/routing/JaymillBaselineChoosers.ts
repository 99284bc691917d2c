import { shuffled } from '../JaymillShuffled.js'
import type { Random } from '../ports/JaymillRandom.js'
import { ChoiceRequest, EndpointCandidate, EndpointChooser, sortByCost } from './JaymillEndpointChooser.js'

/** Orders endpoints by round robin. */
export class RoundRobinChooser extends EndpointChooser {
  private _turn = 0

  /** {@inheritDoc EndpointChooser.order} */
  order (candidates: readonly EndpointCandidate[]): readonly string[] {
    const ids = candidates.map(candidate => candidate.endpointId)
    const first = this._turn++ % Math.max(1, ids.length)
    return [...ids.slice(first), ...ids.slice(0, first)]
  }
}

/** Prefers the endpoint with the lowest known load, regardless of how old that information is. */
export class LeastKnownLoadChooser extends EndpointChooser {
  /** {@inheritDoc EndpointChooser.order} */
  order (candidates: readonly EndpointCandidate[]): readonly string[] {
    return sortByCost(candidates, candidate => candidate.usedSlots / candidate.slots)
  }
}

/** Prefers the less loaded of two random endpoints (Mitzenmacher, "The Power of Two Choices", 2001). */
export class PowerOfTwoChooser extends EndpointChooser {
  /** {@inheritDoc EndpointChooser.order} */
  order (candidates: readonly EndpointCandidate[], _req: ChoiceRequest, random: Random): readonly string[] {
    const ordered = shuffled(candidates, random)
    const pair = sortByCost(ordered.slice(0, 2), candidate => candidate.usedSlots / candidate.slots)
    return [...pair, ...ordered.slice(2).map(candidate => candidate.endpointId)]
  }
}

/**
 * Returns the fixed share of an endpoint's slots for one host; the shares of all hosts add up to all slots.
 *
 * @param slots - Slots of the endpoint.
 * @param hosts - Number of hosts.
 * @param index - Position of the host in the list, from 0.
 * @returns Slots that the host may use without requesting them from another host.
 */
export function localShareSlots (slots: number, hosts: number, index: number): number {
  return Math.floor((index + 1) * slots / hosts) - Math.floor(index * slots / hosts)
}
