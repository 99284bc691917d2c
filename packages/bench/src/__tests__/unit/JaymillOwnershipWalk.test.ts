import {
  Activation, DecisionKind, KeyRecord, KeyRecords, LeaseGroup, LEASE_MS, OwnershipEpochs, QuorumLease, RecordState, Recovery,
  RevisionHistory
} from '@jaymill/core'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { OwnerCluster } from '../../model/JaymillOwnerCluster.js'
import { OwnershipWalk, ComponentsFactory, Violation } from '../../model/JaymillOwnershipWalk.js'
import { walkArbitrary } from '../../model/JaymillWalkArbitrary.js'

const SEED = 3
const RUNS = 300
/** Number of walks in which a disabled rule must cause a violation; they end at the first one. */
const DISABLED_RULE_RUNS = 3_000

class NonExpiringLease extends QuorumLease {
  override heldUntilMs (self: string, group: LeaseGroup): number {
    return group.members.includes(self) ? Infinity : -Infinity
  }
}

class NoChainRule extends Activation {
  override isActive (_: string, history: RevisionHistory): boolean {
    return history.floor <= (history.current?.revision ?? 0)
  }
}

class NoAdoptionCheck extends Activation {
  override allOwnersAdopted (): boolean {
    return true
  }
}

class NoRecovery extends Recovery {
  override complete (published: LeaseGroup): RevisionHistory {
    const history = new RevisionHistory()
    history.resetTo(published)
    return history
  }
}

class NoMintFloor extends OwnershipEpochs {
  protected override _mintFloorAfter (): number {
    return -Infinity
  }
}

class NoRefusalRecords extends KeyRecords {
  override get (id: string): KeyRecord | undefined {
    const record = super.get(id)
    return record?.state === RecordState.Refused ? undefined : record
  }
}

const disabledRules: Array<[string, ComponentsFactory]> = [
  ['lease', () => ({ lease: new NonExpiringLease() })],
  ['chain', () => ({ activation: new NoChainRule() })],
  ['recovery', (self, startedAt) => ({ recovery: new NoRecovery(self, startedAt) })],
  ['mint-time floor', () => ({ epochs: new NoMintFloor() })],
  ['records of refusals', () => ({ records: new NoRefusalRecords() })]
]

function walk (components: ComponentsFactory, runs = RUNS): { violations: Violation[], executions: number, kinds: Set<string> } {
  const total = { violations: [] as Violation[], executions: 0, kinds: new Set<string>() }
  fc.assert(fc.property(walkArbitrary(), ({ seed, actions }) => {
    if (total.violations.length > 0) return
    const simulation = new OwnershipWalk(seed, components)
    actions.forEach(action => simulation.step(action))
    total.violations.push(...simulation.violations)
    total.executions += simulation.executions
    simulation.decisions.forEach((_, kind) => total.kinds.add(kind))
  }), { seed: SEED, numRuns: runs })
  return total
}

describe('KeyOwner in random walks', () => {
  test('runs no key twice and never falsely reports "not run"', () => {
    const total = walk(() => ({}))
    expect(total.violations).toEqual([])
    expect(total.executions).toBeGreaterThan(RUNS)
    expect(total.kinds.size).toBeGreaterThanOrEqual(6)
  })

  test.each(disabledRules)('violates an invariant without the rule: %s', (_, components) => {
    expect(walk(components, DISABLED_RULE_RUNS).violations).not.toEqual([])
  })
})

describe('a host that has not received the new list', () => {
  const ids = ['host-0', 'host-1', 'host-2']
  const remaining = ids.slice(1)

  function runsOnBothSides (components?: () => { activation: Activation }): number {
    const cluster = new OwnerCluster(ids, components)
    cluster.partition(['host-0'])
    cluster.publish({ revision: 2, members: remaining, owners: remaining }, remaining)
    cluster.run(LEASE_MS / 2)
    const reqs = Array.from({ length: 20 }, () => cluster.mint())
      .filter(req => cluster.hosts.get('host-0')?.ownerOf(req) === 'host-0')
    const run = (entry: string) => reqs.map(req => cluster.request(entry, req)?.kind === DecisionKind.Run)
    const [oldOwnerRan, newOwnerRan] = [run('host-0'), run('host-1')]
    expect(oldOwnerRan).toContain(true)
    return reqs.filter((_, i) => oldOwnerRan[i] === true && newOwnerRan[i] === true).length
  }

  test('prevents the new owner from running its keys until its lease has expired', () => {
    expect(runsOnBothSides()).toBe(0)
    expect(runsOnBothSides(() => ({ activation: new NoAdoptionCheck() }))).toBeGreaterThan(0)
  })
})
