import { setTimeout as delay } from 'node:timers/promises'
import { RequestOwnerTag } from '@jaymill/core'
import { CANCEL_RETRY_MS, CANCEL_TRIES } from './constants.js'

/** Sends one cancel on a new connection. */
export type SendCancel = (url: string, requestId: string, upToAttempt: number) => Promise<void>

/** Cancels requests in the background and tries again until the endpoint has answered. */
export class EngineCanceller {
  private readonly _send: SendCancel
  private readonly _signal: AbortSignal
  private readonly _running = new Set<Promise<void>>()

  /**
   * @param send - Sends one cancel.
   * @param signal - Ends the tries when the process closes its clients.
   */
  constructor (send: SendCancel, signal: AbortSignal) {
    this._send = send
    this._signal = signal
  }

  /**
   * Starts to cancel a request; never fails. What stays uncancelled is found by the endpoint's owner.
   *
   * @param url - Base URL of the endpoint.
   * @param tag - Request and attempt.
   */
  cancel (url: string, tag: RequestOwnerTag): void {
    const run: Promise<void> = this._try(url, tag, 1).finally(() => this._running.delete(run))
    this._running.add(run)
  }

  /** Waits for the cancels that are on their way. */
  async settled (): Promise<void> {
    await Promise.allSettled([...this._running])
  }

  private async _try (url: string, tag: RequestOwnerTag, attempt: number): Promise<void> {
    try {
      await this._send(url, tag.requestId, tag.attempt)
    } catch {
      if (attempt >= CANCEL_TRIES || this._signal.aborted) return
      await delay(CANCEL_RETRY_MS * 2 ** (attempt - 1), undefined, { signal: this._signal }).catch(() => {})
      await this._try(url, tag, attempt + 1)
    }
  }
}
