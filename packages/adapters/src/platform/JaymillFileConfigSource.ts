import { watch as watchFile } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { ConfigSource, DocumentKey, type PublishedValue } from '@jaymill/core'
import { MAX_VALUE_BYTES } from './constants.js'
import { ConfigSourceError, ConfigSourceFailure, type ConfigSourceFailureListener } from './JaymillConfigSourceError.js'
import { linkAbort } from './JaymillLinkedAbort.js'
import type { Sleeper } from './JaymillSleeper.js'

/** Settings and dependencies of the configuration source that reads files. */
export interface FileConfigSourceOptions {
  readonly fleetPath: string
  readonly hostsPath: string
  /** Time between two reads when no change event arrives, in milliseconds. */
  readonly rereadMs: number
  readonly sleeper: Sleeper
  readonly onFailure: ConfigSourceFailureListener
}

/** Watches published values in local files. */
export class FileConfigSource extends ConfigSource {
  private readonly _options: FileConfigSourceOptions

  /**
   * @param options - Paths, interval and dependencies.
   */
  constructor (options: FileConfigSourceOptions) {
    super()
    this._options = options
  }

  /** {@inheritDoc @jaymill/core#ConfigSource.watch} */
  async * watch (key: DocumentKey, signal: AbortSignal): AsyncIterable<PublishedValue> {
    const path = key === DocumentKey.Fleet ? this._options.fleetPath : this._options.hostsPath
    let last: PublishedValue | undefined
    while (!signal.aborted) {
      const cycle = linkAbort(signal)
      const changed = nextChange(path, cycle.signal)
      const text = await this._read(path)
      if (text !== undefined && text !== last?.text) {
        last = { index: (last?.index ?? 0) + 1, text }
        yield last
      }
      await Promise.race([changed, this._options.sleeper.sleep(this._options.rereadMs, cycle.signal)])
      cycle.abort()
    }
  }

  private async _read (path: string): Promise<string | undefined> {
    try {
      const bytes = await readFile(path)
      if (bytes.length <= MAX_VALUE_BYTES) return bytes.toString('utf8')
      throw new ConfigSourceError(ConfigSourceFailure.TooLarge, `${path} has ${bytes.length} bytes`)
    } catch (err) {
      const failure = err instanceof ConfigSourceError
        ? err
        : new ConfigSourceError(ConfigSourceFailure.Unreachable, `${path} cannot be read`, err)
      this._options.onFailure(failure)
      return undefined
    }
  }
}

async function nextChange (path: string, signal: AbortSignal): Promise<void> {
  await new Promise<void>(resolve => {
    try {
      const watcher = watchFile(path, { signal, persistent: false })
      watcher.once('change', () => resolve())
      watcher.on('error', () => undefined)
    } catch {
      // A missing file cannot be watched; the next read after the interval finds it.
    }
  })
}
