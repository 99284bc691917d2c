import { expect, test } from 'vitest'
import { ServiceReachability } from '../../../gateway/JaymillServiceReachability.js'

test('a service is out of reach after three of its endpoints failed in a row, and in reach with the next response', () => {
  const reachability = new ServiceReachability()
  expect(['a', 'b', 'b', 'c', 'd'].map(id => reachability.recordFailure('s', id, 8))).toEqual([false, false, false, true, false])
  expect(reachability.outOfReach).toEqual(['s'])
  expect(reachability.isOutOfReach('t')).toBe(false)
  expect([reachability.recordResponse('s'), reachability.recordResponse('s')]).toEqual([true, false])
  expect(reachability.isOutOfReach('s')).toBe(false)
})

test('a response in between shows that the service is in reach', () => {
  const reachability = new ServiceReachability()
  ;['a', 'b'].forEach(id => reachability.recordFailure('s', id, 8))
  reachability.recordResponse('s')
  expect(['c', 'd'].map(id => reachability.recordFailure('s', id, 8))).toEqual([false, false])
})

test('fewer endpoints than that are all that can fail', () => {
  const reachability = new ServiceReachability()
  expect(['a', 'b'].map(id => reachability.recordFailure('s', id, 2))).toEqual([false, true])
})
