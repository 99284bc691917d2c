import { ROOM_DOUBT_ENGINE_MS, ROOM_DOUBT_MS, ROOM_REFUSED_ENGINE_MS } from './constants.js'

/**
 * Answer to many hosts that wait for room at the same full engines: decides which engines are worth a question now, so that
 * the questions of a host do not grow with the pool. An engine that has just refused is left alone for a while, whatever is
 * told of its load; one that seems full is asked from time to time all the same.
 */
export class RoomQuestions {
  private readonly _askedMs = new Map<string, number>()
  private readonly _refusedMs = new Map<string, number>()

  /**
   * @param engineId - Engine that is asked for room.
   * @param nowMs - Monotonic time in milliseconds.
   */
  asked (engineId: string, nowMs: number): void {
    this._askedMs.set(engineId, nowMs)
  }

  /**
   * @param engineId - Engine that had no room.
   * @param nowMs - Monotonic time in milliseconds.
   */
  refused (engineId: string, nowMs: number): void {
    this._refusedMs.set(engineId, nowMs)
  }

  /**
   * @param engineId - Engine at which work of this host has ended.
   */
  freed (engineId: string): void {
    this._refusedMs.delete(engineId)
    this._askedMs.delete(engineId)
  }

  /**
   * @param engineId - An engine.
   * @param fits - Whether it has room, as far as is told.
   * @param engines - Engines of the pool.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether it is worth a question.
   */
  worthAsking (engineId: string, fits: boolean, engines: number, nowMs: number): boolean {
    const sinceRefusedMs = nowMs - (this._refusedMs.get(engineId) ?? Number.NEGATIVE_INFINITY)
    if (sinceRefusedMs < engines * ROOM_REFUSED_ENGINE_MS) return false
    const sinceAskedMs = nowMs - (this._askedMs.get(engineId) ?? Number.NEGATIVE_INFINITY)
    return fits || sinceAskedMs >= Math.max(ROOM_DOUBT_MS, engines * ROOM_DOUBT_ENGINE_MS)
  }
}
