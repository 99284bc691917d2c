import type { PolicyRun } from './JaymillPolicyRun.js'
import type { PolicySite } from './JaymillPolicySite.js'
import type { Demand } from './JaymillWorkload.js'

/** Demand and faults under which policies are measured. */
export interface PolicyScenario {
  readonly name: string
  /** Whether nothing fails; then the router may waste no prefill. */
  readonly faultFree: boolean
  /** Whether the demand stays at the rated load; then the latency targets apply. */
  readonly rated: boolean
  readonly demand: (site: PolicySite) => Demand
  /** Names of the baselines to run; all by default. */
  readonly baselines?: readonly string[]
  /** Schedules faults and membership changes. */
  readonly script: (run: PolicyRun) => void
}

const START_MS = 4_000
const END_MS = 24_000
const EVENT_MS = 10_000
const CREST_END_MS = 18_000
const CREST_RAMP_MS = 2_000
const CREST_FACTOR = 4
const LOAD_BEFORE_CREST = 0.5
const CANCEL_SHARE = 0.2
const STRAGGLER_SPEED = 0.1
const STRAGGLER_LAG_MS = 5_000
const LIST_LAG_MS = 6_000
const REPLACE_MS = 8_000
const STALE_MS = 600_000
const PARTITION_MS = 8_000
const SMALLER_SIDE_HOSTS = 3

const ratedLoad = (site: PolicySite): number => site.runners * site.ratedPerRunner

function demand (cancelShare = 0): (site: PolicySite) => Demand {
  return site => ({ startMs: START_MS, endMs: END_MS, cancelShare, rateAt: () => ratedLoad(site) })
}

function crestFactor (atMs: number): number {
  if (atMs < EVENT_MS || atMs > CREST_END_MS) return 1
  return Math.min(CREST_FACTOR, 1 + (CREST_FACTOR - 1) * (atMs - EVENT_MS) / CREST_RAMP_MS)
}

const withoutFaults = { faultFree: true, rated: true, script: () => {} }

/** Scenarios, in the order in which they run. */
export const SCENARIOS: readonly PolicyScenario[] = [
  { ...withoutFaults, name: 'steady', demand: demand() },
  {
    ...withoutFaults,
    name: 'crest',
    rated: false,
    demand: site => ({ ...demand()(site), rateAt: atMs => ratedLoad(site) * LOAD_BEFORE_CREST * crestFactor(atMs) })
  },
  { ...withoutFaults, name: 'cancel', demand: demand(CANCEL_SHARE) },
  {
    name: 'straggler',
    faultFree: false,
    rated: false,
    demand: demand(),
    script: run => run.loop.after(EVENT_MS, () => slowDown(run, '0'))
  },
  {
    name: 'host-killed',
    faultFree: false,
    rated: false,
    demand: demand(),
    script: run => killAndReplace(run, 'host-1', 'host-8', LIST_LAG_MS)
  },
  {
    name: 'platform-stale',
    faultFree: false,
    rated: false,
    baselines: ['round-robin'],
    demand: site => ({ ...demand()(site), endMs: EVENT_MS + STALE_MS }),
    script: run => killAndReplace(run, 'host-1', 'host-8', STALE_MS)
  },
  {
    name: 'partition',
    faultFree: false,
    rated: false,
    demand: demand(),
    script: run => partitionAndHeal(run)
  }
]

function slowDown (run: PolicyRun, runner: string): void {
  const engines = [run.fleet.decode.get(`decode-${runner}`), run.fleet.prefill.get(`prefill-${runner}`)]
  engines.forEach(engine => {
    if (engine === undefined) return
    engine.speed = STRAGGLER_SPEED
    run.fleet.extraLagMs.set(engine.id, STRAGGLER_LAG_MS)
  })
}

function killAndReplace (run: PolicyRun, killed: string, replacement: string, listLagMs: number): void {
  const rest = [...run.hosts.keys()].filter(id => id !== killed)
  run.loop.after(EVENT_MS, () => run.killHost(killed))
  run.loop.after(EVENT_MS + REPLACE_MS, () => run.addHost(replacement))
  run.loop.after(EVENT_MS + listLagMs, () => run.publish(rest))
  run.loop.after(EVENT_MS + listLagMs + REPLACE_MS, () => run.publish([...rest, replacement]))
}

function partitionAndHeal (run: PolicyRun): void {
  const ids = [...run.hosts.keys()]
  run.loop.after(EVENT_MS, () => run.partition([ids.slice(0, SMALLER_SIDE_HOSTS), ids.slice(SMALLER_SIDE_HOSTS)]))
  run.loop.after(EVENT_MS + PARTITION_MS, () => run.partition([]))
}
