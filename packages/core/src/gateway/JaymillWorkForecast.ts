import type { Random } from '../ports/JaymillRandom.js'
import { REPORTED_LOAD_MEMORY_MS, REPORTED_WORK_SHARE } from './constants.js'
import type { SeenLoad } from './JaymillReportedLoads.js'

/** What a host knows of the work at an endpoint. */
export interface KnownWork {
  /** Requests of this host that it has not answered. */
  readonly own: number
  /** Requests of other hosts, as these have reported them. */
  readonly others: number
  /** Load that the endpoint itself has reported last. */
  readonly seen?: SeenLoad | undefined
}

/** Work that a request is expected to meet at an endpoint. */
export interface ExpectedWork {
  readonly requests: number
  /** Duration of work relative to the usual duration. */
  readonly slowness: number
}

/** Estimates the current work at the endpoints of a service from what is known of an earlier time. */
export abstract class WorkForecast {
  /**
   * @param pool - What is known of each endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   * @param random - Source of randomness.
   * @returns Work to expect at each endpoint, in the same order.
   */
  abstract expect (pool: readonly KnownWork[], nowMs: number, random: Random): readonly ExpectedWork[]
}

/** Baseline: the work has not changed since the hosts have reported it. */
export class UnchangedWorkForecast extends WorkForecast {
  /** {@inheritDoc WorkForecast.expect} */
  override expect (pool: readonly KnownWork[]): readonly ExpectedWork[] {
    return pool.map(({ own, others }) => ({ requests: own + others, slowness: 1 }))
  }
}

/**
 * For hosts that learn each other's work later than the endpoints complete it, so that reports show little more than the mean over the
 * pool. What an endpoint has reported itself counts by its age. As much as remains unknown is drawn at random, with the variance
 * of a Poisson distribution: hosts with the same reports choose different endpoints, each with the probability that it is the best
 * (Thompson, "On the likelihood that one unknown probability exceeds another", 1933).
 */
export class LateReportForecast extends WorkForecast {
  /** {@inheritDoc WorkForecast.expect} */
  override expect (pool: readonly KnownWork[], nowMs: number, random: Random): readonly ExpectedWork[] {
    const mean = pool.reduce((sum, { others }) => sum + others, 0) / Math.max(1, pool.length)
    return pool.map(({ own, others, seen }) => {
      const known = seen === undefined ? 0 : Math.exp((seen.atMs - nowMs) / REPORTED_LOAD_MEMORY_MS)
      const usual = mean + (others - mean) * REPORTED_WORK_SHARE
      const expected = known * (seen?.others ?? 0) + (1 - known) * usual
      const deviation = Math.sqrt(Math.max(1, usual) * (1 - known * known))
      const slowness = 1 + known * ((seen?.slowness ?? 1) - 1)
      return { requests: own + Math.max(0, expected + deviation * drawDeviation(random)), slowness }
    })
  }
}

/**
 * Tells when a request could be answered at the earliest: when the requests ahead of it, as the endpoint has reported them a short time
 * ago, have been worked off by all of its slots.
 *
 * @param work - What is known of the endpoint.
 * @param slots - Requests that it runs at a time.
 * @param serviceMs - Usual time of a request, in milliseconds.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The time from now, in milliseconds; 0 when no load has been reported lately.
 */
export function earliestAnswerMs ({ own, seen }: KnownWork, slots: number, serviceMs: number, nowMs: number): number {
  if (seen === undefined || nowMs - seen.atMs > REPORTED_LOAD_MEMORY_MS) return 0
  return Math.max(0, serviceMs * (own + seen.others) / Math.max(1, slots) - (nowMs - seen.atMs))
}

/** Draws from the logistic distribution with mean 0 and variance 1. */
function drawDeviation (random: Random): number {
  const share = Math.max(random.next(), Number.EPSILON)
  return Math.sqrt(3) / Math.PI * Math.log(share / (1 - share))
}
