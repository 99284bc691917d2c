import { ReservationHandle, CapacityRequest, EndpointRole, ROUTE_CLASSES, RouteClass, SlotAllocator } from '@jaymill/core'
import type { AccountGate } from './JaymillAccountGate.js'
import { PoolQueue } from './JaymillPoolQueue.js'
import type { RoutingParts } from './JaymillRoutingParts.js'

const MIN_FAIR_TOKENS = 1

/** Lets requests wait for capacity in class and fair order, after their account's limits. */
export class QueuedSlotBooker extends SlotAllocator {
  private readonly _parts: RoutingParts
  private readonly _booker: SlotAllocator
  private readonly _gate: AccountGate
  private readonly _queues = new Map<string, PoolQueue>()
  private _sequence = 0

  /**
   * @param parts - Parts of the host.
   * @param booker - Books at the owners.
   * @param gate - Account limits.
   */
  constructor (parts: RoutingParts, booker: SlotAllocator, gate: AccountGate) {
    super()
    this._parts = parts
    this._booker = booker
    this._gate = gate
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.reserve} */
  async reserve (req: CapacityRequest, signal: AbortSignal): Promise<ReservationHandle> {
    signal.throwIfAborted()
    const first = req.attempt === 1 && req.role !== EndpointRole.Prefill
    if (first) await this._gate.pass(req.accountId, req.tokens, signal)
    return await new Promise((resolve, reject) => {
      this._queueOf(req.poolId).offer({
        id: String(++this._sequence),
        accountId: req.accountId,
        weight: this._parts.fleet().accounts.find(({ id }) => id === req.accountId)?.weight ?? 1,
        tokens: Math.max(MIN_FAIR_TOKENS, req.tokens),
        class: ROUTE_CLASSES[req.priority] ?? RouteClass.Summary,
        latestStartMs: this._parts.clock.nowMs() + req.latestStartInMs,
        req,
        signal,
        resolve,
        reject
      })
    })
  }

  /** {@inheritDoc @jaymill/core#SlotAllocator.release} */
  release (booking: ReservationHandle): void {
    this._booker.release(booking)
  }

  private _queueOf (poolId: string): PoolQueue {
    const queue = this._queues.get(poolId) ?? new PoolQueue(this._booker, this._parts)
    this._queues.set(poolId, queue)
    return queue
  }
}
