/** Tracks role changes in progress, ordered by this host or reported by others. These engines accept no work meanwhile. */
export class PendingRoleChanges {
  private readonly _own = new Map<string, number>()
  private readonly _others = new Map<string, ReadonlySet<string>>()
  private _highestFencingToken = 0

  /** Highest fencing token observed from any host; 0 before the first. */
  get highestFencingToken (): number {
    return this._highestFencingToken
  }

  /**
   * Creates the fencing token for the next order. It is higher than every observed token, even if hosts' clocks differ or were
   * set back.
   *
   * @param wallMs - Wall-clock time of this host, in milliseconds since the Unix epoch.
   * @returns The fencing token.
   */
  nextFencingToken (wallMs: number): number {
    this._highestFencingToken = Math.max(wallMs, this._highestFencingToken + 1)
    return this._highestFencingToken
  }

  /**
   * Records a fencing token of another host.
   *
   * @param fencingToken - Highest fencing token that the other host has observed.
   */
  observeFencingToken (fencingToken: number): void {
    this._highestFencingToken = Math.max(this._highestFencingToken, fencingToken)
  }

  /**
   * Marks an engine as changing its role.
   *
   * @param engineId - Engine that was ordered to change.
   * @param untilMs - Monotonic time by which the change should be complete, in milliseconds.
   */
  begin (engineId: string, untilMs: number): void {
    this._own.set(engineId, untilMs)
  }

  /**
   * Ends a role change that this host has ordered.
   *
   * @param engineId - Engine that has changed its role or was removed.
   */
  end (engineId: string): void {
    this._own.delete(engineId)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Engines whose role change this host has ordered and which is still in progress.
   */
  own (nowMs: number): readonly string[] {
    return [...this._own].filter(([, untilMs]) => untilMs > nowMs).map(([engineId]) => engineId)
  }

  /**
   * @param sources - Sources of reports.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Engines whose role change this host or one of the sources has ordered.
   */
  sum (sources: readonly string[], nowMs: number): readonly string[] {
    return [...new Set([...this.own(nowMs), ...sources.flatMap(source => [...this._others.get(source) ?? []])])]
  }

  /**
   * Replaces the role changes reported by another host.
   *
   * @param hostId - The other host.
   * @param engineIds - Engines that it has ordered to change; empty when it has timed out.
   */
  update (hostId: string, engineIds: readonly string[]): void {
    this._others.set(hostId, new Set(engineIds))
  }

  /**
   * @param engineId - An engine.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether a role change of the engine is in progress.
   */
  has (engineId: string, nowMs: number): boolean {
    return (this._own.get(engineId) ?? nowMs) > nowMs || [...this._others.values()].some(ids => ids.has(engineId))
  }
}
