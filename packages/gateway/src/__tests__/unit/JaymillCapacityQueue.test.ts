import { expect, test } from 'vitest'
import { BacklogAdmission, UrgencyOrder } from '@jaymill/core'
import { SystemClock } from '@jaymill/daemon/ports'
import { CapacityQueue, type CapacityRequest } from '../../forwarding/JaymillCapacityQueue.js'

function request (id: string, reserve: CapacityRequest['reserve'], signal = new AbortController().signal): CapacityRequest {
  const deadlineMs = new SystemClock().nowMs() + 5_000
  return { id, arrivedMs: 0, targetDeadlineMs: deadlineMs, callerDeadlineMs: deadlineMs, tokens: 1, cost: 1, isRetry: false, signal, reserve }
}

// Guards against reservations for requests that another host serves by then.
test('releases all waiting requests and reserves nothing for them afterwards', async () => {
  const queue = new CapacityQueue(new SystemClock(), new BacklogAdmission(() => 0))
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

// Answers a burst in which small, less urgent requests would fill each gap before a large, urgent one fits.
test('while an urgent request is refused, less urgent ones of the same pass get nothing, and smaller ones of its own place do', async () => {
  const queue = new CapacityQueue(new SystemClock(), new BacklogAdmission(() => 0), new UrgencyOrder())
  const tried: string[] = []
  const entry = (id: string, position: number, tokens: number): CapacityRequest => ({
    ...request(id, async () => {
      tried.push(id)
      return undefined
    }),
    tokens,
    cost: -tokens,
    urgency: { rank: position, position, isProtected: false, hasWaited: false }
  })
  const waits = [entry('urgent', 0, 9), entry('small', 0, 5), entry('other', 2, 1)].map(async item => await queue.acquire(item))
  await new Promise(resolve => setTimeout(resolve, 200))
  queue.releaseAll()
  await Promise.all(waits)
  expect([...new Set(tried)]).toEqual(['urgent', 'small'])
})
