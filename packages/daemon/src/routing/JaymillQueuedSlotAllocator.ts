import { CapacityRequest, EndpointRole, ReservationHandle, ROUTE_CLASSES, RouteClass, SlotAllocator } from '@jaymill/core'
import type { AccountRateLimiter } from './JaymillAccountRateLimiter.js'
import { PoolQueue } from './JaymillPoolQueue.js'
import type { RoutingContext } from './JaymillRoutingContext.js'

const MIN_FAIR_TOKENS = 1

/** Checks the limits of the account, then queues the request by class and fairly between accounts. */
export class QueuedSlotAllocator extends SlotAllocator {
  private readonly _ctx: RoutingContext
  private readonly _allocator: SlotAllocator
  private readonly _limiter: AccountRateLimiter
  private readonly _queues = new Map<string, PoolQueue>()
  private _sequence = 0

  /**
   * @param ctx - Components of the host that routing uses.
   * @param allocator - Requests reservations from the owners.
   * @param limiter - Enforces the limits of accounts.
   */
  constructor (ctx: RoutingContext, allocator: SlotAllocator, limiter: AccountRateLimiter) {
    super()
    this._ctx = ctx
    this._allocator = allocator
    this._limiter = limiter
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.reserve} */
  async reserve (req: CapacityRequest, signal: AbortSignal): Promise<ReservationHandle> {
    signal.throwIfAborted()
    const countsAgainstLimits = req.attempt === 1 && req.role !== EndpointRole.Prefill
    if (countsAgainstLimits) await this._limiter.acquire(req.accountId, req.tokens, signal)
    return await new Promise((resolve, reject) => {
      this._queueOf(req.poolId).offer({
        id: String(++this._sequence),
        accountId: req.accountId,
        weight: this._ctx.fleet().accounts.find(({ id }) => id === req.accountId)?.weight ?? 1,
        tokens: Math.max(MIN_FAIR_TOKENS, req.tokens),
        class: ROUTE_CLASSES[req.priority] ?? RouteClass.Summary,
        latestStartMs: this._ctx.clock.nowMs() + req.latestStartInMs,
        req,
        signal,
        resolve,
        reject
      })
    })
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.release} */
  release (reservation: ReservationHandle): void {
    this._allocator.release(reservation)
  }

  private _queueOf (poolId: string): PoolQueue {
    const queue = this._queues.get(poolId) ?? new PoolQueue(this._allocator, this._ctx)
    this._queues.set(poolId, queue)
    return queue
  }
}
