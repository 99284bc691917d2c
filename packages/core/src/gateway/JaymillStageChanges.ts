/** Engines that change their stage, as this host has ordered and as others have told. They take no work meanwhile. */
export class StageChanges {
  private readonly _own = new Map<string, number>()
  private readonly _others = new Map<string, ReadonlySet<string>>()
  private _highestFence = 0

  /** Highest fencing token that any host is known to have used; 0 before the first. */
  get highestFence (): number {
    return this._highestFence
  }

  /**
   * @param wallMs - Time of day of this host, in milliseconds since the Unix epoch.
   * @returns Fencing token for the next order: higher than every known one, also where hosts' clocks differ or were set back.
   */
  nextFence (wallMs: number): number {
    this._highestFence = Math.max(wallMs, this._highestFence + 1)
    return this._highestFence
  }

  /**
   * @param fence - Highest fencing token that another host knows.
   */
  adoptFence (fence: number): void {
    this._highestFence = Math.max(this._highestFence, fence)
  }

  /**
   * @param engineId - Engine that was ordered to change.
   * @param untilMs - Monotonic time at which it should have changed, in milliseconds.
   */
  begin (engineId: string, untilMs: number): void {
    this._own.set(engineId, untilMs)
  }

  /**
   * @param engineId - Engine that has changed, or was removed.
   */
  end (engineId: string): void {
    this._own.delete(engineId)
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Engines that this host has ordered to change.
   */
  own (nowMs: number): readonly string[] {
    return [...this._own].filter(([, untilMs]) => untilMs > nowMs).map(([engineId]) => engineId)
  }

  /**
   * @param hostId - Another host.
   * @param engineIds - Engines that it has ordered to change; empty when it is silent.
   */
  adopt (hostId: string, engineIds: readonly string[]): void {
    this._others.set(hostId, new Set(engineIds))
  }

  /**
   * @param engineId - An engine.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it changes its stage now.
   */
  has (engineId: string, nowMs: number): boolean {
    return (this._own.get(engineId) ?? nowMs) > nowMs || [...this._others.values()].some(ids => ids.has(engineId))
  }
}
