import {
  Activation, DecisionKind, GroupList, KeyRecord, KeyRecords, LEASE_MS, LeaseKeeper, ListHistory, Recovery, RecordState, TakeOver
} from '@jaymill/core'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { OwnerCluster } from '../../model/JaymillOwnerCluster.js'
import { OwnershipWalk, PartsFactory, Violation } from '../../model/JaymillOwnershipWalk.js'
import { walkArbitrary } from '../../model/JaymillWalkArbitrary.js'

const SEED = 3
const RUNS = 300
/** Walks in which a broken rule must show; they end at the first violation. */
const BROKEN_RUNS = 3_000

class EternalLease extends LeaseKeeper {
  override heldUntilMs (self: string, list: GroupList): number {
    return list.members.includes(self) ? Infinity : -Infinity
  }
}

class NoChain extends Activation {
  override isActive (_: string, history: ListHistory): boolean {
    return history.floor <= (history.current?.revision ?? 0)
  }
}

class EarlyMove extends Activation {
  override allMoved (): boolean {
    return true
  }
}

class NoRecovery extends Recovery {
  override complete (published: GroupList): ListHistory {
    const history = new ListHistory()
    history.restart(published)
    return history
  }
}

class NoTakeOverTime extends TakeOver {
  protected override _mintFloorMs (): number {
    return -Infinity
  }
}

class ForgetsRefusals extends KeyRecords {
  override get (id: string): KeyRecord | undefined {
    const record = super.get(id)
    return record?.state === RecordState.Refused ? undefined : record
  }
}

const broken: Array<[string, PartsFactory]> = [
  ['lease', () => ({ lease: new EternalLease() })],
  ['chain', () => ({ activation: new NoChain() })],
  ['recovery', (self, startedAt) => ({ recovery: new NoRecovery(self, startedAt) })],
  ['mint time', () => ({ takeOver: new NoTakeOverTime() })],
  ['memory of refusals', () => ({ records: new ForgetsRefusals() })]
]

function walk (parts: PartsFactory, runs = RUNS): { violations: Violation[], executions: number, kinds: Set<string> } {
  const total = { violations: [] as Violation[], executions: 0, kinds: new Set<string>() }
  fc.assert(fc.property(walkArbitrary(), ({ seed, actions }) => {
    if (total.violations.length > 0) return
    const world = new OwnershipWalk(seed, parts)
    actions.forEach(action => world.step(action))
    total.violations.push(...world.violations)
    total.executions += world.executions
    world.decisions.forEach((_, kind) => total.kinds.add(kind))
  }), { seed: SEED, numRuns: runs })
  return total
}

describe('KeyOwner in random walks', () => {
  test('runs no key twice and tells no false "not run"', () => {
    const total = walk(() => ({}))
    expect(total.violations).toEqual([])
    expect(total.executions).toBeGreaterThan(RUNS)
    expect(total.kinds.size).toBeGreaterThanOrEqual(6)
  })

  test.each(broken)('is caught without the rule of %s', (_, parts) => {
    expect(walk(parts, BROKEN_RUNS).violations).not.toEqual([])
  })
})

describe('a host that has not heard of the new list', () => {
  const ids = ['host-0', 'host-1', 'host-2']
  const rest = ids.slice(1)

  function runsOnBothSides (parts?: () => { activation: Activation }): number {
    const cluster = new OwnerCluster(ids, parts)
    cluster.cut(['host-0'])
    cluster.publish({ revision: 2, members: rest, owners: rest }, rest)
    cluster.run(LEASE_MS / 2)
    const reqs = Array.from({ length: 20 }, () => cluster.mint()).filter(req => cluster.hosts.get('host-0')?.ownerOf(req) === 'host-0')
    const run = (entry: string) => reqs.map(req => cluster.ask(entry, req)?.kind === DecisionKind.Run)
    const [old, fresh] = [run('host-0'), run('host-1')]
    expect(old).toContain(true)
    return reqs.filter((_, i) => old[i] === true && fresh[i] === true).length
  }

  test('keeps its keys from the new owner until its lease has run out', () => {
    expect(runsOnBothSides()).toBe(0)
    expect(runsOnBothSides(() => ({ activation: new EarlyMove() }))).toBeGreaterThan(0)
  })
})
