import { Random, RouteClass } from '@jaymill/core'
import type { PolicySite } from './JaymillPolicySite.js'

/** One request of the workload. */
export interface WorkRequest {
  readonly id: string
  readonly atMs: number
  readonly accountId: string
  readonly class: RouteClass
  readonly promptTokens: number
  readonly outputTokens: number
  /** Time after arrival at which the caller disconnects, in milliseconds; `null` if it does not. */
  readonly cancelAfterMs: number | null
  /** Random number in [0, 1) by which the load balancer selects a host. */
  readonly balancerDraw: number
}

/** Arrival rate over time. */
export interface Demand {
  readonly startMs: number
  readonly endMs: number
  /** Requests per second at the given time. */
  readonly rateAt: (atMs: number) => number
  /** Share of requests whose caller disconnects. */
  readonly cancelShare: number
}

const ACCOUNTS = 12
const HEAVY_ACCOUNT_SHARE = 0.4
const VERDICT_SHARE = 0.3
const MAX_CANCEL_MS = 5_000
const MIN_TOKENS = 40
const MAX_PROMPT_TOKENS = 12_000
const MAX_OUTPUT_TOKENS = 600

function sampleExponential (random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}

function sampleTokens (random: Random, mean: number, max: number): number {
  return Math.min(max, Math.round(MIN_TOKENS + sampleExponential(random, mean - MIN_TOKENS)))
}

function sampleAccount (random: Random): string {
  const heavy = random.next() < HEAVY_ACCOUNT_SHARE
  return heavy ? 'account-0' : `account-${1 + Math.floor(random.next() * (ACCOUNTS - 1))}`
}

function createRequest (site: PolicySite, demand: Demand, random: Random, index: number, atMs: number): WorkRequest {
  return {
    id: `req-${index}`,
    atMs,
    accountId: sampleAccount(random),
    class: random.next() < VERDICT_SHARE ? RouteClass.Verdict : RouteClass.Summary,
    promptTokens: sampleTokens(random, site.meanPromptTokens, MAX_PROMPT_TOKENS),
    outputTokens: sampleTokens(random, site.meanOutputTokens, MAX_OUTPUT_TOKENS),
    cancelAfterMs: random.next() < demand.cancelShare ? random.next() * MAX_CANCEL_MS : null,
    balancerDraw: random.next()
  }
}

/**
 * Generates the requests of one run.
 *
 * @param site - Site whose mean token counts apply.
 * @param demand - Arrival rate.
 * @param random - Random number generator; the same seed gives the same requests.
 * @returns Requests in order of arrival.
 */
export function workload (site: PolicySite, demand: Demand, random: Random): readonly WorkRequest[] {
  const requests: WorkRequest[] = []
  for (let atMs = demand.startMs; atMs < demand.endMs; atMs += sampleExponential(random, 1_000 / demand.rateAt(atMs))) {
    requests.push(createRequest(site, demand, random, requests.length, atMs))
  }
  return requests
}
