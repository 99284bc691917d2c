import type { Socket } from 'node:net'
import { HeldBytes, LargestFirstByteBudget, UnlimitedByteBudget, type BudgetEffects, type Clock, type MemoryCapacity } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import { BufferCollector } from './JaymillBufferCollector.js'
import { ConnectionMemory, Storage } from './JaymillConnectionMemory.js'
import type { RequestMemory } from './JaymillRequestMemory.js'
import { RequestObjects } from './JaymillRequestObjects.js'

/** Share of the budget that buffers may take which are no longer used. */
const GARBAGE_SHARE = 0.25

/** Dependencies of the memory of a host. */
export interface HostMemoryContext {
  readonly clock: Clock
  readonly log: GatewayLog
  readonly metrics: GatewayMetrics
}

/** Counts what the connections of a host hold in its memory, and pauses or closes them by the decisions of a budget. */
export class HostMemory {
  private readonly _context: HostMemoryContext
  private readonly _budget: LargestFirstByteBudget<ConnectionMemory> | UnlimitedByteBudget<ConnectionMemory>
  private readonly _collector: BufferCollector | undefined
  private readonly _objects: RequestObjects
  private _unreadBytes = 0
  private _evicted = 0

  /**
   * @param context - Dependencies.
   * @param limits - Limits until others apply; `undefined` for none at any time.
   */
  constructor (context: HostMemoryContext, limits: MemoryCapacity | undefined) {
    this._context = context
    this._budget = limits === undefined ? new UnlimitedByteBudget() : new LargestFirstByteBudget(limits)
    this._objects = new RequestObjects(limits)
    this._collector = limits === undefined ? undefined : new BufferCollector(limits.maxBytes * GARBAGE_SHARE)
  }

  /** Bytes that all connections hold. */
  get heldBytes (): number {
    return this._budget.heldBytes
  }

  /** Number of connections that wait to be read. */
  get waitingCount (): number {
    return this._budget.waitingCount
  }

  /**
   * Replaces the limits of a host that has any.
   *
   * @param limits - The limits.
   */
  applyLimits (limits: MemoryCapacity | undefined): void {
    if (limits === undefined || this._budget instanceof UnlimitedByteBudget) return
    this._objects.applyLimits(limits)
    this._budget.changeLimits(limits)
  }

  /**
   * Tells whether a request that is counted may go on.
   *
   * @param request - Memory of its objects.
   * @returns Whether enough is left.
   */
  hasRoomFor ({ bytes }: RequestMemory): boolean {
    return this._budget.hasRoomFor(bytes)
  }

  /**
   * Adds a connection until it closes.
   *
   * @param socket - Socket of the connection.
   * @returns Its memory.
   */
  open (socket: Socket): ConnectionMemory {
    const connection = new ConnectionMemory(
      socket,
      (holder, kind, bytes, storage) => this._add(holder, kind, bytes, storage),
      (holder, bytes, from, to) => this._budget.move(holder, bytes, from, to),
      this._objects
    )
    this._budget.open(connection)
    socket.once('close', () => this._apply(this._budget.close(connection)))
    return connection
  }

  /** Lets connections go on that have waited, or makes room for them. */
  tick (): void {
    if (this._budget.waitingCount > 0) this._apply(this._budget.tick(this._context.clock.nowMs()))
    if (this._evicted === 0) return
    this._context.log.stateChange('memory for requests used up', { closed: this._evicted, held: this._budget.heldBytes, waiting: this._budget.waitingCount })
    this._evicted = 0
  }

  private _add (connection: ConnectionMemory, kind: HeldBytes, bytes: number, storage: Storage): void {
    this._apply(this._budget.add(connection, kind, bytes, this._context.clock.nowMs()))
    if (storage === Storage.Objects) return
    if (kind === HeldBytes.Unread) this._unreadBytes += bytes
    this._collector?.note(Math.abs(bytes), this._unreadBytes)
  }

  private _apply ({ pause, resume, evict }: BudgetEffects<ConnectionMemory>): void {
    pause.forEach(connection => connection.pause())
    resume.forEach(connection => connection.resume())
    evict.forEach(connection => {
      this._evicted += 1
      this._context.metrics.recordClosedConnection('memory')
      connection.evict()
    })
  }
}
