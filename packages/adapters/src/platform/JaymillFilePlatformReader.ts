import { watch as watchFile } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { PlatformKey, PlatformReader, type PlatformValue } from '@jaymill/core'
import { MAX_VALUE_BYTES } from './constants.js'
import { linkAbort } from './JaymillLinkedAbort.js'
import { PlatformError, PlatformFailure, type PlatformFailureListener } from './JaymillPlatformError.js'
import type { Sleeper } from './JaymillSleeper.js'

/** What the file adapter works with. */
export interface FilePlatformOptions {
  readonly fleetPath: string
  readonly hostsPath: string
  /** Time between two reads when no change is signalled, in milliseconds. */
  readonly rereadMs: number
  readonly sleeper: Sleeper
  readonly onFailure: PlatformFailureListener
}

/** Reads published values from local files. */
export class FilePlatformReader extends PlatformReader {
  private readonly _options: FilePlatformOptions

  /**
   * @param options - Paths, interval and ports.
   */
  constructor (options: FilePlatformOptions) {
    super()
    this._options = options
  }

  /** {@inheritDoc PlatformReader.watch} */
  async * watch (key: PlatformKey, signal: AbortSignal): AsyncIterable<PlatformValue> {
    const path = key === PlatformKey.Fleet ? this._options.fleetPath : this._options.hostsPath
    let last: PlatformValue | undefined
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
      throw new PlatformError(PlatformFailure.TooLarge, `${path} has ${bytes.length} bytes`)
    } catch (err) {
      const failure = err instanceof PlatformError
        ? err
        : new PlatformError(PlatformFailure.Unreachable, `${path} can't be read`, err)
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
      // A missing file can't be watched; the interval finds it.
    }
  })
}
