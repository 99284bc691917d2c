import { shuffled } from '../JaymillShuffled.js'
import type { Random } from '../ports/JaymillRandom.js'
import { MIN_SAMPLED_ENDPOINTS } from './constants.js'
import type { EndpointRecord } from './JaymillEndpointRecord.js'

/** Endpoints in the order in which they are considered. */
export interface EndpointSample {
  /** Endpoints that the best one is chosen from. */
  readonly sampled: readonly EndpointRecord[]
  /** The others, in random order. */
  readonly rest: readonly EndpointRecord[]
}

/**
 * Computes from how many endpoints a host chooses the best one. With an exact picture of their work, all of them are compared.
 * The more requests other hosts have sent since the picture was taken, the smaller the sample: hosts that all compared all
 * endpoints would send all these requests to the one that looked idle.
 *
 * @param endpoints - Number of endpoints.
 * @param unseenRequests - Expected number of requests of all hosts that the picture does not show yet.
 * @returns Number of endpoints to sample; at least two, so that the busier one of a pair is avoided.
 */
export function sampleSize (endpoints: number, unseenRequests: number): number {
  return Math.min(endpoints, Math.max(MIN_SAMPLED_ENDPOINTS, Math.ceil(endpoints / (1 + unseenRequests))))
}

/**
 * Draws a random sample of endpoints: half of it from the host's own availability zone and half from all zones, so that a host
 * prefers near endpoints but leaves them when those of other zones are less busy.
 *
 * @param records - Endpoints to choose from.
 * @param zone - Availability zone of this host.
 * @param size - Endpoints to draw.
 * @param random - Source of randomness.
 * @returns The sample and the remaining endpoints.
 */
export function sampleEndpoints (records: readonly EndpointRecord[], zone: string, size: number, random: Random): EndpointSample {
  const ordered = shuffled(records, random)
  const near = ordered.filter(record => record.zone === zone).slice(0, Math.ceil(size / 2))
  const sampled = new Set([...near, ...ordered.filter(record => !near.includes(record)).slice(0, size - near.length)])
  return { sampled: [...sampled], rest: ordered.filter(record => !sampled.has(record)) }
}
