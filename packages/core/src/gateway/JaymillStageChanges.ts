/** Engines that change their stage, as this host has ordered and as others have told. They take no work meanwhile. */
export class StageChanges {
  private readonly _own = new Map<string, number>()
  private readonly _others = new Map<string, ReadonlySet<string>>()

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
