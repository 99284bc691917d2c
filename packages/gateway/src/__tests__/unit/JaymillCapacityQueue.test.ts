import { expect, test } from 'vitest'
import { SystemClock } from '@jaymill/daemon/ports'
import { CapacityQueue, type CapacityRequest } from '../../forwarding/JaymillCapacityQueue.js'

function request (id: string, reserve: CapacityRequest['reserve'], signal = new AbortController().signal): CapacityRequest {
  const deadlineMs = new SystemClock().nowMs() + 5_000
  return { id, arrivedMs: 0, targetDeadlineMs: deadlineMs, callerDeadlineMs: deadlineMs, tokens: 1, cost: 1, isRetry: false, signal, reserve }
}

// Guards against reservations for requests that another host serves by then.
test('releases all waiting requests and reserves nothing for them afterwards', async () => {
  const queue = new CapacityQueue(new SystemClock(), () => 0)
  const reserved: string[] = []
  let refuse: () => void = () => {}
  const first = queue.acquire(request('first', async () => await new Promise(resolve => { refuse = () => resolve(undefined) })))
  const second = queue.acquire({
    ...request('second', async () => {
      reserved.push('second')
      return undefined
    }),
    tokens: 0
  })
  queue.releaseAll()
  expect(await Promise.all([first, second])).toEqual([{}, {}])
  expect(queue.size).toBe(0)
  refuse()
  await new Promise(resolve => setTimeout(resolve, 200))
  expect(reserved).toEqual([])
})
