import { setTimeout as delay } from 'node:timers/promises'
import { RequestOwnerTag } from '@jaymill/core'
import { CANCEL_RETRY_MS, MAX_CANCEL_ATTEMPTS } from './constants.js'

/** Sends one cancellation on a new connection. */
export type SendCancel = (url: string, requestId: string, upToAttempt: number) => Promise<void>

/** Cancels requests in the background; makes at most `MAX_CANCEL_ATTEMPTS` attempts until the endpoint accepts one. */
export class EngineCanceller {
  private readonly _send: SendCancel
  private readonly _signal: AbortSignal
  private readonly _running = new Set<Promise<void>>()

  /**
   * @param send - Sends one cancellation.
   * @param signal - Stops the retries when the process closes its clients.
   */
  constructor (send: SendCancel, signal: AbortSignal) {
    this._send = send
    this._signal = signal
  }

  /**
   * Starts the cancellation of a request and returns immediately; failures are not reported. The endpoint's owner finds
   * requests that are still not cancelled after the last retry.
   *
   * @param url - Base URL of the endpoint.
   * @param tag - Request and attempt.
   */
  cancel (url: string, tag: RequestOwnerTag): void {
    const run: Promise<void> = this._try(url, tag, 1).finally(() => this._running.delete(run))
    this._running.add(run)
  }

  /** Waits for the cancellations in progress. */
  async settled (): Promise<void> {
    await Promise.allSettled([...this._running])
  }

  private async _try (url: string, tag: RequestOwnerTag, attempt: number): Promise<void> {
    try {
      await this._send(url, tag.requestId, tag.attempt)
    } catch {
      if (attempt >= MAX_CANCEL_ATTEMPTS || this._signal.aborted) return
      await delay(CANCEL_RETRY_MS * 2 ** (attempt - 1), undefined, { signal: this._signal }).catch(() => {})
      await this._try(url, tag, attempt + 1)
    }
  }
}
