import fc from 'fast-check'
import { WALK_ACTIONS } from './constants.js'
import { WalkAction, WalkKind } from './JaymillOwnershipWalk.js'

const WEIGHTS: ReadonlyArray<readonly [WalkKind, number]> = [
  [WalkKind.Run, 24],
  [WalkKind.Publish, 6],
  [WalkKind.Distribute, 6],
  [WalkKind.Partition, 3],
  [WalkKind.Heal, 5],
  [WalkKind.Pause, 2],
  [WalkKind.Wake, 5],
  [WalkKind.Restart, 2],
  [WalkKind.Mint, 16],
  [WalkKind.Request, 16],
  [WalkKind.Recall, 3],
  [WalkKind.Send, 26],
  [WalkKind.ColdStart, 1]
]

const MAX_BITS = 31
const MAX_PICK = 1_023

/** One walk: a seed for the network, and the actions in order. */
export interface Walk {
  readonly seed: number
  readonly actions: readonly WalkAction[]
}

/**
 * Creates the fast-check arbitrary of random walks.
 *
 * @returns Walks of `WALK_ACTIONS` weighted actions.
 */
export function walkArbitrary (): fc.Arbitrary<Walk> {
  const kind = fc.oneof(...WEIGHTS.map(([value, weight]) => ({ weight, arbitrary: fc.constant(value) })))
  const action = fc.record({ kind, bits: fc.integer({ min: 0, max: MAX_BITS }), pick: fc.integer({ min: 0, max: MAX_PICK }) })
  const actions = fc.array(action, { minLength: WALK_ACTIONS, maxLength: WALK_ACTIONS, size: 'max' })
  return fc.record({ seed: fc.integer(), actions })
}
