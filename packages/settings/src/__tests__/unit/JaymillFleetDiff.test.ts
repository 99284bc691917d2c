import { describe, expect, test } from 'vitest'
import { diffFleetConfig } from '../../JaymillFleetDiff.js'
import { parseFleetConfig } from '../../JaymillParse.js'
import { FLEET } from './fixtures.js'

function diff (change: (fleet: any) => void) {
  const next = structuredClone(FLEET)
  next.revision += 1
  change(next)
  return diffFleetConfig(parseFleetConfig(JSON.stringify(FLEET), 'old'), parseFleetConfig(JSON.stringify(next), 'next'))
}

describe('diffFleetConfig', () => {
  test('finds nothing between equal fleets', () => {
    expect(diff(() => {})).toMatchObject({ fromRevision: 7, toRevision: 8, changes: [], risks: [] })
  })

  test('names pool, endpoint and field, and hides key hashes', () => {
    const { changes } = diff(fleet => {
      fleet.pools[1].endpoints[0].slots = 19
      fleet.accounts[0].keySha256 = 'cd'.repeat(32)
    })
    expect(changes).toEqual([
      { change: 'changed', subject: 'endpoint', id: 'd1', poolId: 'dec', fields: [{ field: 'slots', from: 20, to: 19 }] },
      { change: 'changed', subject: 'account', id: 'a1', fields: [{ field: 'keySha256', from: '(hidden)', to: '(hidden)' }] }
    ])
  })

  test.each<[string, (fleet: any) => void, string[]]>([
    ['revision stays', fleet => { fleet.revision = 7; fleet.routes[0].ttftMs = 1 }, ['revision-does-not-rise']],
    ['last decode endpoints leave', fleet => { fleet.pools[1].endpoints.forEach((e: any) => { e.state = 'leaving' }) },
      ['last-endpoint-removed', 'slots-halved']],
    ['half the slots stay', fleet => { fleet.pools[1].endpoints[0].state = 'leaving' }, []],
    ['removed before it left', fleet => { fleet.pools[1].endpoints.shift() }, ['endpoint-not-drained']],
    ['url moves', fleet => { fleet.pools[1].endpoints[0].url = 'http://127.0.0.9:1' }, ['endpoint-moved']],
    ['fencing is claimed', fleet => { fleet.pools[0].endpoints[0].checksFencing = true }, ['fencing-claimed']],
    ['bookings become idempotent', fleet => { fleet.routes[1].idempotent = true }, ['route-became-idempotent']],
    ['model goes', fleet => { fleet.models = [] }, ['model-removed']],
    ['service loses its endpoint', fleet => { fleet.pools[2].endpoints[0].state = 'leaving' },
      ['last-endpoint-removed', 'slots-halved']],
    ['account goes', fleet => { fleet.accounts = [] }, ['account-removed']]
  ])('risk: %s', (_name, change, kinds) => {
    expect(diff(change).risks.map(risk => risk.kind)).toEqual(kinds)
  })
})
