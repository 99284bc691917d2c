import {
  CostChooser,
  CountingRule,
  ReservationPlanner,
  EndpointChooser,
  JustInTime,
  LeastKnownLoadChooser,
  NoStragglerScorer,
  ObservedPaceScorer,
  PowerOfTwoChooser,
  PrefillFirst,
  ReserveDecodeFirst,
  RoundRobinChooser,
  StragglerScorer
} from '@jaymill/core'

/** How a host gets capacity on the endpoint it has chosen. */
export enum BookingMode {
  /** Asks the endpoint's owner. */
  Owner = 'owner',
  /** Uses its fixed share of every endpoint's slots. */
  LocalShare = 'local-share',
  /** Sends without a booking; a full engine refuses. */
  None = 'none'
}

/** One combination of decisions to be measured. */
export interface Policy {
  readonly name: string
  readonly mode: BookingMode
  readonly counting: CountingRule
  readonly newChooser: () => EndpointChooser
  readonly newScorer: () => StragglerScorer
  readonly reservation: ReservationPlanner
  /** Whether requests wait in the order of arrival, without classes and accounts. */
  readonly fifo: boolean
}

const EXACT = CountingRule.Exact

/** The shipped combination. */
export const CHOSEN: Policy = {
  name: 'owner-ledger',
  mode: BookingMode.Owner,
  counting: EXACT,
  newChooser: () => new CostChooser(),
  newScorer: () => new ObservedPaceScorer(),
  reservation: new ReserveDecodeFirst(),
  fifo: false
}

/** What it is measured against. */
export const BASELINES: readonly Policy[] = [
  { ...CHOSEN, name: 'owner-fifo', fifo: true },
  { ...CHOSEN, name: 'owner-no-health', newScorer: () => new NoStragglerScorer() },
  { ...CHOSEN, name: 'owner-prefill-first', reservation: new PrefillFirst() },
  { ...CHOSEN, name: 'owner-just-in-time', counting: CountingRule.Expected, reservation: new JustInTime() },
  { ...CHOSEN, name: 'local-share', mode: BookingMode.LocalShare, newChooser: () => new LeastKnownLoadChooser(), newScorer: () => new NoStragglerScorer() },
  unbooked('round-robin', () => new RoundRobinChooser()),
  unbooked('least-known-load', () => new LeastKnownLoadChooser()),
  unbooked('power-of-two', () => new PowerOfTwoChooser())
]

function unbooked (name: string, newChooser: () => EndpointChooser): Policy {
  const newScorer = (): StragglerScorer => new NoStragglerScorer()
  return { name, mode: BookingMode.None, counting: EXACT, newChooser, newScorer, reservation: new PrefillFirst(), fifo: false }
}
