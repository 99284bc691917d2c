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
  test('finds no changes between equal fleets', () => {
    expect(diff(() => {})).toMatchObject({ fromRevision: 7, toRevision: 8, changes: [], risks: [] })
  })

  test('reports pool, endpoint and field, and hides key hashes', () => {
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
    ['revision is unchanged', fleet => { fleet.revision = 7; fleet.routes[0].ttftMs = 1 }, ['revision-does-not-rise']],
    ['last decode endpoints are leaving', fleet => { fleet.pools[1].endpoints.forEach((e: any) => { e.state = 'leaving' }) },
      ['last-endpoint-removed', 'slots-halved']],
    ['half of the slots remain', fleet => { fleet.pools[1].endpoints[0].state = 'leaving' }, []],
    ['endpoint is removed before it is marked as leaving', fleet => { fleet.pools[1].endpoints.shift() }, ['endpoint-not-drained']],
    ['endpoint URL changes', fleet => { fleet.pools[1].endpoints[0].url = 'http://127.0.0.9:1' }, ['endpoint-moved']],
    ['fencing check is enabled', fleet => { fleet.pools[0].endpoints[0].checksFencing = true }, ['fencing-claimed']],
    ['booking route becomes idempotent', fleet => { fleet.routes[1].idempotent = true }, ['route-became-idempotent']],
    ['model is removed', fleet => { fleet.models = [] }, ['model-removed']],
    ['service loses its endpoint', fleet => { fleet.pools[2].endpoints[0].state = 'leaving' },
      ['last-endpoint-removed', 'slots-halved']],
    ['account is removed', fleet => { fleet.accounts = [] }, ['account-removed']]
  ])('risk: %s', (_name, change, kinds) => {
    expect(diff(change).risks.map(risk => risk.kind)).toEqual(kinds)
  })
})
