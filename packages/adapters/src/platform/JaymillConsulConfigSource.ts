import { ConfigSource, DocumentKey, type PublishedValue, type Random } from '@jaymill/core'
import { CONSUL_WAIT_JITTER } from './constants.js'
import { Backoff } from './JaymillBackoff.js'
import { ConfigSourceError, ConfigSourceFailure, type ConfigSourceFailureListener } from './JaymillConfigSourceError.js'
import { consulUrl, sendConsulQuery } from './JaymillConsulQuery.js'
import type { ReadRateLimiter } from './JaymillReadRateLimiter.js'
import type { Sleeper } from './JaymillSleeper.js'

/** Settings and dependencies of the configuration source that uses blocking queries. */
export interface ConsulConfigSourceOptions {
  /** Base URL of the Consul API. */
  readonly url: string
  readonly fleetKey: string
  readonly hostsKey: string
  readonly token?: string
  /** Longest time that the server may hold a query open, in milliseconds. */
  readonly waitMs: number
  /** Time that a query may take beyond its wait time, in milliseconds. */
  readonly requestTimeoutMs: number
  /** Longest delay after failures, in milliseconds. */
  readonly maxBackoffMs: number
  readonly rateLimiter: ReadRateLimiter
  readonly sleeper: Sleeper
  readonly random: Random
  readonly onFailure: ConfigSourceFailureListener
}

/**
 * Watches published values with Consul's blocking queries: each query carries the index of the last response, and the
 * server holds it open until the value changes. When the index goes backwards, the next query starts again from 0 and the
 * response is ignored, because it may come from a stale server.
 */
export class ConsulConfigSource extends ConfigSource {
  private readonly _options: ConsulConfigSourceOptions

  /**
   * @param options - Address, limits and dependencies.
   */
  constructor (options: ConsulConfigSourceOptions) {
    super()
    this._options = options
  }

  /** {@inheritDoc @jaymill/core#ConfigSource.watch} */
  async * watch (key: DocumentKey, signal: AbortSignal): AsyncIterable<PublishedValue> {
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
        this._options.onFailure(new ConfigSourceError(ConfigSourceFailure.IndexWentBack, message))
      } else if (value.text !== lastText) {
        lastText = value.text
        yield value
      }
    }
  }

  private async _read (
    key: DocumentKey, index: number, backoff: Backoff, signal: AbortSignal
  ): Promise<PublishedValue | undefined> {
    const { sleeper, rateLimiter } = this._options
    await sleeper.sleep(rateLimiter.reserve(), signal)
    try {
      const value = await this._query(key, index, signal)
      backoff.reset()
      return value
    } catch (err) {
      if (signal.aborted || !(err instanceof ConfigSourceError)) return undefined
      this._options.onFailure(err)
      await sleeper.sleep(backoff.next(), signal)
      return undefined
    }
  }

  private async _query (key: DocumentKey, index: number, signal: AbortSignal): Promise<PublishedValue> {
    const { url, fleetKey, hostsKey, token, waitMs, requestTimeoutMs, sleeper } = this._options
    const name = key === DocumentKey.Fleet ? fleetKey : hostsKey
    const maxWaitMs = index > 0 ? waitMs * (1 + CONSUL_WAIT_JITTER) : 0
    const query = { url: consulUrl(url, name, index, waitMs), token, timeoutMs: maxWaitMs + requestTimeoutMs }
    return await sendConsulQuery(query, sleeper, signal)
  }
}
