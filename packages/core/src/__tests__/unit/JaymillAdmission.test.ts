import { describe, expect, test } from 'vitest'
import {
  AccountLimiter, AdmissionItem, AdmissionQueue, AdmissionRefusal, EqualShareLimiter, FairQueue, LeasedLimiter, RouteClass,
  SeededRandom, TokenLeaseOwner
} from '../../index.js'

function item (id: string, changes: Partial<AdmissionItem> = {}): AdmissionItem {
  return { id, accountId: 'a', weight: 1, tokens: 100, class: RouteClass.Summary, latestStartMs: 10_000, ...changes }
}

const serve = (queue: AdmissionQueue<AdmissionItem>, nowMs: number): AdmissionItem | undefined => {
  const next = queue.take()
  if (next !== undefined) queue.markStarted(next, nowMs)
  return next
}

describe('FairQueue', () => {
  test('shares tokens by weight, regardless of the backlog of an account', () => {
    const queue = new FairQueue<AdmissionItem>()
    Array.from({ length: 90 }, (_, index) => queue.push(item(`heavy-${index}`, { accountId: 'heavy' })))
    Array.from({ length: 30 }, (_, index) => queue.push(item(`light-${index}`, { accountId: 'light', weight: 2 })))
    const served = Array.from({ length: 30 }, () => {
      const next = queue.take()
      queue.markDone(next?.id ?? '')
      return next?.accountId
    })
    expect(served.filter(id => id === 'light').length).toBe(20)
  })

  test('requeues a request without a reservation at its former position', () => {
    const queue = new FairQueue<AdmissionItem>();
    ['a', 'b', 'c'].forEach(id => queue.push(item(id)))
    const first = queue.take()
    queue.requeue(first?.id ?? '')
    expect(queue.take()?.id).toBe('a')
  })
})

describe('AdmissionQueue', () => {
  test('serves bookings before verdicts before summaries, and starves none', () => {
    const queue = new AdmissionQueue<AdmissionItem>()
    Array.from({ length: 40 }, (_, index) => queue.offer(item(`v${index}`, { class: RouteClass.Verdict }), 0))
    Array.from({ length: 10 }, (_, index) => queue.offer(item(`s${index}`), 0))
    queue.offer(item('booking', { class: RouteClass.Booking }), 0)
    const served = Array.from({ length: 20 }, (_, index) => serve(queue, index)?.class)
    expect(served[0]).toBe(RouteClass.Booking)
    expect(served.filter(name => name === RouteClass.Summary)).toHaveLength(4)
  })

  test('an account that joins late gets its share from then on, without credit for the time before', () => {
    const settle: Array<(queue: AdmissionQueue<AdmissionItem>, next: AdmissionItem) => void> = [
      (queue, next) => queue.markStarted(next, 0), (queue, next) => queue.drop(next)
    ]
    settle.forEach(settleItem => {
      const queue = new AdmissionQueue<AdmissionItem>()
      const take = (): string | undefined => {
        const next = queue.take()
        if (next !== undefined) settleItem(queue, next)
        return next?.accountId
      }
      Array.from({ length: 40 }, (_, i) => queue.offer(item(`early-${i}`, { accountId: 'early' }), 0))
      Array.from({ length: 20 }, () => take())
      Array.from({ length: 20 }, (_, i) => queue.offer(item(`late-${i}`, { accountId: 'late' }), 0))
      const served = Array.from({ length: 20 }, () => take())
      expect(served.filter(id => id === 'late').length).toBe(10)
    })
  })

  test('refuses requests at once if they would miss their latency target, and removes queued ones that have missed it', () => {
    const queue = new AdmissionQueue<AdmissionItem>()
    Array.from({ length: 50 }, (_, index) => queue.offer(item(`r${index}`), 0))
    Array.from({ length: 10 }, (_, index) => serve(queue, index * 100))
    expect(queue.offer(item('late', { latestStartMs: 2_000 }), 1_000)?.refusal).toBe(AdmissionRefusal.CannotMeetTarget)
    expect(queue.offer(item('patient'), 1_000)).toBeNull()
    expect(queue.expire(10_001)).toHaveLength(41)
  })

  test('refuses requests beyond its size limit', () => {
    const queue = new AdmissionQueue<AdmissionItem>(2);
    ['a', 'b'].forEach(id => queue.offer(item(id), 0))
    expect(queue.offer(item('c'), 0)?.refusal).toBe(AdmissionRefusal.QueueFull)
  })
})

describe('account limits over seven hosts', () => {
  const limit = { accountId: 'a', tokensPerSecond: 1_000 }

  /** Returns the tokens admitted in ten seconds when most of the demand arrives at one host. */
  function admittedTokens (takeAt: (host: number, nowMs: number) => boolean): number {
    const random = new SeededRandom(3)
    return Array.from({ length: 1_000 }, (_, step) => {
      const host = random.next() < 0.95 ? 0 : Math.floor(random.next() * 7)
      return takeAt(host, step * 10) ? 50 : 0
    }).reduce<number>((sum, tokens) => sum + tokens, 0)
  }

  test('leases enforce the limit and let uneven demand use all of it', () => {
    const owner = new TokenLeaseOwner()
    const limiters = Array.from({ length: 7 }, () => new LeasedLimiter(() => 7))
    const used = admittedTokens((host, nowMs) => {
      const limiter = limiters[host] as LeasedLimiter
      const first = limiter.take(limit, 50, nowMs)
      if (first.allowed) return true
      limiter.receive(owner.lease(limit, first.leaseTokens, nowMs), nowMs)
      return limiter.take(limit, 50, nowMs).allowed
    })
    const shares: AccountLimiter[] = Array.from({ length: 7 }, () => new EqualShareLimiter(() => 7))
    const shared = admittedTokens((host, nowMs) => shares[host]?.take(limit, 50, nowMs).allowed === true)
    expect(used).toBeLessThanOrEqual(11_000)
    expect(used).toBeGreaterThan(10_000)
    expect(shared).toBeLessThan(used * 0.9)
  })

  test('a lease expires after its time to live', () => {
    const limiter = new LeasedLimiter(() => 7)
    limiter.receive({ accountId: 'a', tokens: 100, ttlMs: 1_000 }, 0)
    expect(limiter.take(limit, 100, 1_000).allowed).toBe(false)
    expect(limiter.takeShare(limit, 100, 1_000).allowed).toBe(true)
    expect(limiter.takeShare(limit, 100, 1_000).allowed).toBe(false)
  })
})
