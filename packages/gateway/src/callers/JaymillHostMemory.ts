import type { Socket } from 'node:net'
import { HeldBytes, LargestFirstByteBudget, UnlimitedByteBudget, type BudgetEffects, type ByteBudgetLimits, type Clock } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import { BufferCollector } from './JaymillBufferCollector.js'
import { ConnectionMemory } from './JaymillConnectionMemory.js'

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
  private readonly _connections = new Set<ConnectionMemory>()
  private readonly _collector: BufferCollector | undefined
  private _unreadBytes = 0
  private _evicted = 0

  /**
   * @param context - Dependencies.
   * @param limits - Limits until others apply; `undefined` for none at any time.
   */
  constructor (context: HostMemoryContext, limits: ByteBudgetLimits | undefined) {
    this._context = context
    this._budget = limits === undefined ? new UnlimitedByteBudget() : new LargestFirstByteBudget(limits)
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
  applyLimits (limits: ByteBudgetLimits | undefined): void {
    if (limits !== undefined && this._budget instanceof LargestFirstByteBudget) this._budget.changeLimits(limits)
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
      (holder, kind, bytes) => this._add(holder, kind, bytes),
      (holder, bytes) => this._budget.complete(holder, bytes)
    )
    this._connections.add(connection)
    this._budget.open(connection)
    socket.once('close', () => {
      this._connections.delete(connection)
      this._apply(this._budget.close(connection))
    })
    return connection
  }

  /** Counts headers that have not arrived as a whole, and lets connections go on that have waited, or makes room for them. */
  tick (): void {
    this._connections.forEach(connection => connection.countHead())
    if (this._budget.waitingCount > 0) this._apply(this._budget.tick(this._context.clock.nowMs()))
    if (this._evicted === 0) return
    this._context.log.stateChange('memory for requests used up', { closed: this._evicted, held: this._budget.heldBytes, waiting: this._budget.waitingCount })
    this._evicted = 0
  }

  private _add (connection: ConnectionMemory, kind: HeldBytes, bytes: number): void {
    if (kind === HeldBytes.Unread) this._unreadBytes += bytes
    this._apply(this._budget.add(connection, kind, bytes, this._context.clock.nowMs()))
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
