import { PlatformKey, PlatformReader, type PlatformValue, type Random } from '@jaymill/core'
import { SERVICE_WAIT_JITTER } from './constants.js'
import { Backoff } from './JaymillBackoff.js'
import { consulUrl, sendConsulQuery } from './JaymillConsulQuery.js'
import { PlatformError, PlatformFailure, type PlatformFailureListener } from './JaymillPlatformError.js'
import type { ReadBudget } from './JaymillReadBudget.js'
import type { Sleeper } from './JaymillSleeper.js'

/** What the blocking-query adapter works with. */
export interface ConsulPlatformOptions {
  /** Base URL of the service. */
  readonly url: string
  readonly fleetKey: string
  readonly hostsKey: string
  readonly token?: string
  /** Time the service may hold a query open, in milliseconds. */
  readonly waitMs: number
  /** Time a query may take beyond its wait, in milliseconds. */
  readonly requestTimeoutMs: number
  /** Longest pause after failures, in milliseconds. */
  readonly maxBackoffMs: number
  readonly budget: ReadBudget
  readonly sleeper: Sleeper
  readonly random: Random
  readonly onFailure: PlatformFailureListener
}

/**
 * Reads published values by blocking queries, as Consul publishes them: the index of the last answer is sent with the
 * next query, which the service holds open until the value changes. An index that goes back is reset to 0, and the
 * answer that brought it is not used, because it may come from a stale server.
 */
export class ConsulPlatformReader extends PlatformReader {
  private readonly _options: ConsulPlatformOptions

  /**
   * @param options - Address, limits and ports.
   */
  constructor (options: ConsulPlatformOptions) {
    super()
    this._options = options
  }

  /** {@inheritDoc PlatformReader.watch} */
  async * watch (key: PlatformKey, signal: AbortSignal): AsyncIterable<PlatformValue> {
    const backoff = new Backoff(this._options.maxBackoffMs, this._options.random)
    let index = 0
    let lastText: string | undefined
    while (!signal.aborted) {
      const value = await this._read(key, index, backoff, signal)
      if (value === undefined) continue
      const wentBack = value.index < index
      index = wentBack ? 0 : value.index
      if (wentBack) {
        const message = `the index of ${key} went back to ${value.index}`
        this._options.onFailure(new PlatformError(PlatformFailure.IndexWentBack, message))
      } else if (value.text !== lastText) {
        lastText = value.text
        yield value
      }
    }
  }

  private async _read (
    key: PlatformKey, index: number, backoff: Backoff, signal: AbortSignal
  ): Promise<PlatformValue | undefined> {
    const { sleeper, budget } = this._options
    await sleeper.sleep(budget.reserve(), signal)
    try {
      const value = await this._query(key, index, signal)
      backoff.reset()
      return value
    } catch (err) {
      if (signal.aborted || !(err instanceof PlatformError)) return undefined
      this._options.onFailure(err)
      await sleeper.sleep(backoff.next(), signal)
      return undefined
    }
  }

  private async _query (key: PlatformKey, index: number, signal: AbortSignal): Promise<PlatformValue> {
    const { url, fleetKey, hostsKey, token, waitMs, requestTimeoutMs, sleeper } = this._options
    const name = key === PlatformKey.Fleet ? fleetKey : hostsKey
    const heldMs = index > 0 ? waitMs * (1 + SERVICE_WAIT_JITTER) : 0
    const query = { url: consulUrl(url, name, index, waitMs), token, limitMs: heldMs + requestTimeoutMs }
    return await sendConsulQuery(query, sleeper, signal)
  }
}
