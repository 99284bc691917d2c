import { expect, test } from 'vitest'
import { CONNECT_FAILURE_MEMORY_MS } from '../../../gateway/constants.js'
import { PathEvidence, ServiceReachability } from '../../../gateway/JaymillServiceReachability.js'

const { None, Doubt, Loss } = PathEvidence

function broken (endpointId: string, alike = 8): Parameters<ServiceReachability['recordFailure']>[0] {
  return { service: 's', endpointId, connecting: false, alike, endpoints: 8 }
}

function refused (endpointId: string, endpoints = 8): Parameters<ServiceReachability['recordFailure']>[0] {
  return { service: 's', endpointId, connecting: true, alike: 8, endpoints }
}

test('a service is out of reach after three of its endpoints failed in a row, and in reach with the next response over a new connection', () => {
  const reachability = new ServiceReachability()
  expect(['a', 'b', 'b', 'c', 'd'].map(id => reachability.recordFailure(broken(id), 0))).toEqual([None, None, None, Loss, None])
  expect(reachability.outOfReach).toEqual(['s'])
  expect(reachability.isOutOfReach('t')).toBe(false)
  expect(reachability.recordResponse('s', false)).toBe(false)
  expect(reachability.isOutOfReach('s')).toBe(true)
  expect([reachability.recordResponse('s', true), reachability.recordResponse('s', true)]).toEqual([true, false])
  expect(reachability.isOutOfReach('s')).toBe(false)
})

test('a response in between shows that the service is in reach', () => {
  const reachability = new ServiceReachability()
  ;['a', 'b'].forEach(id => reachability.recordFailure(broken(id), 0))
  reachability.recordResponse('s', false)
  expect(['c', 'd'].map(id => reachability.recordFailure(broken(id), 0))).toEqual([None, None])
})

test('fewer endpoints than that are all that can fail', () => {
  const reachability = new ServiceReachability()
  expect(['a', 'b'].map(id => reachability.recordFailure(broken(id, 2), 0))).toEqual([None, Loss])
})

// Guards against hosts that take responses over open connections for a sign that new ones can be made.
test('endpoints that accept no new connection leave a doubt, and then show the loss, whatever responds over open ones', () => {
  const reachability = new ServiceReachability()
  const evidence = ['a', 'a', 'b', 'c', 'd', 'e'].map(id => {
    reachability.recordResponse('s', false)
    return reachability.recordFailure(refused(id), 0)
  })
  expect(evidence).toEqual([None, None, Doubt, Doubt, Doubt, Loss])
})

test('all endpoints of a small service are enough', () => {
  const reachability = new ServiceReachability()
  const evidence = ['a', 'b', 'c'].map(id => {
    reachability.recordResponse('s', false)
    return reachability.recordFailure(refused(id, 3), 0)
  })
  expect(evidence).toEqual([None, Doubt, Loss])
})

test('a response over a new connection removes the doubt, and so does time', () => {
  const reachability = new ServiceReachability()
  const refuse = (ids: readonly string[], nowMs: number): readonly PathEvidence[] => ids.map(id => {
    reachability.recordResponse('s', false)
    return reachability.recordFailure(refused(id), nowMs)
  })
  expect(refuse(['a', 'b'], 0)).toEqual([None, Doubt])
  expect(reachability.refusing('s')).toEqual(['a', 'b'])
  reachability.recordResponse('s', true)
  expect(reachability.refusing('s')).toEqual([])
  expect(refuse(['c'], 0)).toEqual([None])
  expect(refuse(['d'], CONNECT_FAILURE_MEMORY_MS + 1)).toEqual([None])
})
