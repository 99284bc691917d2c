import { setTimeout as sleep } from 'node:timers/promises'
import { PlatformKey, PlatformReader, PlatformValue } from '@jaymill/core'
import type { PlatformSettings } from '@jaymill/settings'
import { request } from 'undici'

const RETRY_MS = 500

/** Follows published documents by blocking queries. */
export class ThinPlatformReader extends PlatformReader {
  private readonly _settings: PlatformSettings

  /**
   * @param settings - Address of the platform.
   */
  constructor (settings: PlatformSettings) {
    super()
    this._settings = settings
  }

  /** {@inheritDoc @jaymill/core#PlatformReader.watch} */
  async * watch (key: PlatformKey, signal: AbortSignal): AsyncIterable<PlatformValue> {
    let index = 0
    while (!signal.aborted) {
      const value = await this._read(key, index, signal).catch(() => undefined)
      if (value === undefined) await sleep(RETRY_MS, undefined, { signal }).catch(() => undefined)
      else if (value.index !== index) {
        index = value.index
        yield value
      }
    }
  }

  private async _read (key: PlatformKey, index: number, signal: AbortSignal): Promise<PlatformValue | undefined> {
    if (this._settings.kind !== 'http') return undefined
    const name = key === PlatformKey.Fleet ? this._settings.fleetKey : this._settings.hostsKey
    const { statusCode, headers, body } = await request(`${this._settings.url}/v1/kv/${name}?index=${index}&wait=30s`, { signal })
    const [entry] = await body.json() as Array<{ Value: string }>
    if (statusCode !== 200 || entry === undefined) return undefined
    return { index: Number(headers['x-consul-index']), text: Buffer.from(entry.Value, 'base64').toString('utf8') }
  }
}
