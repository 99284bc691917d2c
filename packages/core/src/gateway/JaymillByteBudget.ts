/** Sizes by which a budget decides. */
export interface ByteBudgetLimits {
  /** Bytes that all connections together may hold. */
  readonly maxBytes: number
  /** Bytes that the system may receive for a connection that is not read. */
  readonly receiveBytes: number
  /** Time for which connections wait to be read before others make room, in milliseconds. */
  readonly maxWaitMs: number
}

/** What a connection holds. */
export enum HeldBytes {
  /** Part of a body, or of a header, whose rest has not arrived. */
  Unfinished = 'unfinished',
  /** Complete body of a request that runs. */
  Whole = 'whole',
  /** Response that the caller has not read. */
  Unread = 'unread'
}

/** What to do after a change. */
export interface BudgetEffects<Connection> {
  /** Connections that are not read for now. */
  readonly pause: readonly Connection[]
  /** Connections that are read again. */
  readonly resume: readonly Connection[]
  /** Connections to close, after a refusal where the request has not run; what they hold is no longer counted. */
  readonly evict: readonly Connection[]
}

interface Holding {
  readonly [HeldBytes.Unfinished]: number
  readonly [HeldBytes.Whole]: number
  readonly [HeldBytes.Unread]: number
}

const NOTHING: Holding = { [HeldBytes.Unfinished]: 0, [HeldBytes.Whole]: 0, [HeldBytes.Unread]: 0 }

const NO_EFFECTS: BudgetEffects<never> = { pause: [], resume: [], evict: [] }

/** Decides which connections are read, wait or are closed, by the bytes that they hold. */
export abstract class ByteBudget<Connection> {
  private readonly _holdings = new Map<Connection, Holding>()
  private _heldBytes = 0

  /** Bytes that all connections hold. */
  get heldBytes (): number {
    return this._heldBytes
  }

  /** Number of connections that wait to be read. */
  abstract get waitingCount (): number

  /**
   * Tells whether a request that is counted may go on, after all has been closed that may be. A large one leaves the last part of the budget
   * to small ones.
   *
   * @param bytes - Its size, in bytes.
   */
  abstract hasRoomFor (bytes: number): boolean

  /** Number of open connections. */
  get connectionCount (): number {
    return this._holdings.size
  }

  /**
   * Adds a connection.
   *
   * @param connection - The connection.
   */
  open (connection: Connection): void {
    this._holdings.set(connection, NOTHING)
  }

  /**
   * Changes what a connection holds.
   *
   * @param connection - The connection; one that is closed or evicted is not counted.
   * @param kind - What it holds.
   * @param bytes - Bytes that are added, or removed when negative.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns What to do.
   */
  add (connection: Connection, kind: HeldBytes, bytes: number, nowMs: number): BudgetEffects<Connection> {
    const holding = this._holdings.get(connection)
    if (holding === undefined) return NO_EFFECTS
    this._holdings.set(connection, { ...holding, [kind]: holding[kind] + bytes })
    this._heldBytes += bytes
    return bytes > 0 ? this._grown(connection, kind, nowMs) : this._shrunk()
  }

  /**
   * Counts an unfinished body as complete.
   *
   * @param connection - Its connection.
   * @param bytes - Size of the body, in bytes.
   */
  complete (connection: Connection, bytes: number): void {
    this.move(connection, bytes, HeldBytes.Unfinished, HeldBytes.Whole)
  }

  /**
   * Counts bytes of a connection as another kind.
   *
   * @param connection - The connection.
   * @param bytes - Number of bytes.
   * @param from - What they have counted as.
   * @param to - What they count as from now on.
   */
  move (connection: Connection, bytes: number, from: HeldBytes, to: HeldBytes): void {
    const holding = this._holdings.get(connection)
    if (holding === undefined || from === to) return
    this._holdings.set(connection, { ...holding, [from]: holding[from] - bytes, [to]: holding[to] + bytes })
  }

  /**
   * Removes a connection with all that it holds.
   *
   * @param connection - The connection.
   * @returns What to do.
   */
  close (connection: Connection): BudgetEffects<Connection> {
    this._remove(connection)
    return this._shrunk()
  }

  /**
   * Lets time pass.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns What to do.
   */
  abstract tick (nowMs: number): BudgetEffects<Connection>

  protected abstract _grown (connection: Connection, kind: HeldBytes, nowMs: number): BudgetEffects<Connection>

  protected abstract _shrunk (): BudgetEffects<Connection>

  /** Bytes of a connection that closing it frees without breaking off a request that was received as a whole. */
  protected _evictableBytes (connection: Connection): number {
    const { unfinished, unread } = this._holdings.get(connection) ?? NOTHING
    return unfinished + unread
  }

  protected _connections (): readonly Connection[] {
    return [...this._holdings.keys()]
  }

  protected _remove (connection: Connection): void {
    const { unfinished, whole, unread } = this._holdings.get(connection) ?? NOTHING
    this._heldBytes -= unfinished + whole + unread
    this._holdings.delete(connection)
  }
}

/** Counts bytes and neither delays nor closes connections, as without a limit. */
export class UnlimitedByteBudget<Connection> extends ByteBudget<Connection> {
  /** No connection waits. */
  get waitingCount (): number {
    return 0
  }

  /** Any number of bytes is allowed. */
  hasRoomFor (): boolean {
    return true
  }

  /** Returns that there is nothing to do. */
  tick (): BudgetEffects<Connection> {
    return NO_EFFECTS
  }

  protected _grown (): BudgetEffects<Connection> {
    return NO_EFFECTS
  }

  protected _shrunk (): BudgetEffects<Connection> {
    return NO_EFFECTS
  }
}

/** Share of the budget above which further bodies wait. */
const WAIT_SHARE = 0.75

/** Share of the budget above which a request without its body counts as large. */
const LARGE_SHARE = 0.002

/** Share of the budget that is free for those that wait after they have waited too long. */
const FREED_SHARE = 0.5

/** Share of the budget that all connections together have as their own parts. */
const OWN_SHARE = 0.25

/** Bounds of the part of one connection, in bytes. */
const MIN_PART_BYTES = 4_096
const MAX_PART_BYTES = 65_536

/**
 * Each connection has a small part of its own. Beyond it, bodies wait unread while little is left. The connections that hold most are
 * closed when nothing is left, when too many wait, or when they wait for too long.
 */
export class LargestFirstByteBudget<Connection> extends ByteBudget<Connection> {
  private _limits: ByteBudgetLimits
  private readonly _waitingSince = new Map<Connection, number>()

  /**
   * @param limits - Sizes and times.
   */
  constructor (limits: ByteBudgetLimits) {
    super()
    this._limits = limits
  }

  /** Number of connections that wait to be read. */
  get waitingCount (): number {
    return this._waitingSince.size
  }

  /**
   * Tells whether a request that is counted may go on.
   *
   * @param bytes - Its size, in bytes.
   */
  hasRoomFor (bytes: number): boolean {
    const { maxBytes } = this._limits
    return this.heldBytes <= (bytes > maxBytes * LARGE_SHARE ? this._waitBytes : maxBytes)
  }

  /**
   * Replaces the limits; what is held stays counted.
   *
   * @param limits - Sizes and times.
   */
  changeLimits (limits: ByteBudgetLimits): void {
    this._limits = limits
  }

  /** Bytes of which a connection may hold as many at any time. */
  get partBytes (): number {
    const part = this._limits.maxBytes * OWN_SHARE / Math.max(1, this.connectionCount)
    return Math.min(MAX_PART_BYTES, Math.max(MIN_PART_BYTES, part))
  }

  /** Closes the largest connections when others have waited for too long, so that these go on. */
  tick (nowMs: number): BudgetEffects<Connection> {
    const isOverdue = [...this._waitingSince.values()].some(sinceMs => nowMs - sinceMs >= this._limits.maxWaitMs)
    if (!isOverdue) return this._shrunk()
    return this._afterEviction([], this._evictDownTo(this._limits.maxBytes * FREED_SHARE))
  }

  protected _grown (connection: Connection, kind: HeldBytes, nowMs: number): BudgetEffects<Connection> {
    const { maxBytes } = this._limits
    if (this.heldBytes > maxBytes) return this._afterEviction([], this._evictDownTo(maxBytes * WAIT_SHARE))
    const waits = kind === HeldBytes.Unfinished && this.heldBytes > this._waitBytes && this._evictableBytes(connection) > this.partBytes
    if (!waits || this._waitingSince.has(connection)) return NO_EFFECTS
    this._waitingSince.set(connection, nowMs)
    if (this.waitingCount <= this._maxWaiting) return { ...NO_EFFECTS, pause: [connection] }
    const evict = this._evictDownTo(maxBytes * FREED_SHARE)
    return this._afterEviction(evict.includes(connection) ? [] : [connection], evict)
  }

  protected _shrunk (): BudgetEffects<Connection> {
    return this._afterEviction([], [])
  }

  protected override _remove (connection: Connection): void {
    super._remove(connection)
    this._waitingSince.delete(connection)
  }

  private get _waitBytes (): number {
    return this._limits.maxBytes * WAIT_SHARE
  }

  /** Those that wait may fill what is left with bytes that the system receives for them. */
  private get _maxWaiting (): number {
    return Math.floor((this._limits.maxBytes - this._waitBytes) / this._limits.receiveBytes)
  }

  private _afterEviction (pause: readonly Connection[], evict: readonly Connection[]): BudgetEffects<Connection> {
    if (this._waitingSince.size === 0 || this.heldBytes > this._waitBytes) return { pause, resume: [], evict }
    const waiting = [...this._waitingSince.keys()]
    this._waitingSince.clear()
    return { pause: [], resume: waiting.filter(connection => !pause.includes(connection)), evict }
  }

  /** Removes the connections that hold most beyond their part until no more than some bytes are held. */
  private _evictDownTo (bytes: number): readonly Connection[] {
    const candidates = this._connections()
      .map(connection => ({ connection, size: this._evictableBytes(connection) }))
      .filter(({ size }) => size > this.partBytes)
      .sort((a, b) => b.size - a.size)
      .map(({ connection }) => connection)
    const count = candidates.findIndex(connection => {
      if (this.heldBytes <= bytes) return true
      this._remove(connection)
      return false
    })
    return count === -1 ? candidates : candidates.slice(0, count)
  }
}
