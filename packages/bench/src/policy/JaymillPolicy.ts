import {
  CostChooser,
  CountingRule,
  EndpointChooser,
  JustInTime,
  LatencyRatioScorer,
  LeastKnownLoadChooser,
  NoStragglerScorer,
  PowerOfTwoChooser,
  PrefillFirst,
  ReservationPlanner,
  ReserveDecodeFirst,
  RoundRobinChooser,
  StragglerScorer
} from '@jaymill/core'

/** How a host acquires capacity on the endpoint that it has selected. */
export enum ReservationMode {
  /** Requests a reservation from the endpoint's owner. */
  Owner = 'owner',
  /** Reserves from a fixed local share of each decode endpoint's capacity; prefills are sent without a reservation. */
  LocalShare = 'local-share',
  /** Sends without a reservation; a full engine refuses. */
  None = 'none'
}

/** A combination of routing and admission rules to measure. */
export interface Policy {
  readonly name: string
  readonly mode: ReservationMode
  readonly counting: CountingRule
  readonly newChooser: () => EndpointChooser
  readonly newScorer: () => StragglerScorer
  readonly planner: ReservationPlanner
  /** Whether requests queue in order of arrival, regardless of class and account. */
  readonly fifo: boolean
}

const EXACT = CountingRule.Exact

/** Policy that the router uses. */
export const DEFAULT_POLICY: Policy = {
  name: 'owner-ledger',
  mode: ReservationMode.Owner,
  counting: EXACT,
  newChooser: () => new CostChooser(),
  newScorer: () => new LatencyRatioScorer(),
  planner: new ReserveDecodeFirst(),
  fifo: false
}

/** Policies that the default policy is compared with. */
export const BASELINES: readonly Policy[] = [
  { ...DEFAULT_POLICY, name: 'owner-fifo', fifo: true },
  { ...DEFAULT_POLICY, name: 'owner-no-health', newScorer: () => new NoStragglerScorer() },
  { ...DEFAULT_POLICY, name: 'owner-prefill-first', planner: new PrefillFirst() },
  { ...DEFAULT_POLICY, name: 'owner-just-in-time', counting: CountingRule.Expected, planner: new JustInTime() },
  {
    ...DEFAULT_POLICY,
    name: 'local-share',
    mode: ReservationMode.LocalShare,
    newChooser: () => new LeastKnownLoadChooser(),
    newScorer: () => new NoStragglerScorer()
  },
  withoutReservation('round-robin', () => new RoundRobinChooser()),
  withoutReservation('least-known-load', () => new LeastKnownLoadChooser()),
  withoutReservation('power-of-two', () => new PowerOfTwoChooser())
]

function withoutReservation (name: string, newChooser: () => EndpointChooser): Policy {
  const newScorer = (): StragglerScorer => new NoStragglerScorer()
  return { name, mode: ReservationMode.None, counting: EXACT, newChooser, newScorer, planner: new PrefillFirst(), fifo: false }
}
