import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PlatformKey } from '@jaymill/core'
import { afterAll, expect, test } from 'vitest'
import { FilePlatformReader } from '../../platform/JaymillFilePlatformReader.js'
import { Sleeper } from '../../platform/JaymillSleeper.js'

const dir = mkdtempSync(join(tmpdir(), 'jaymill-'))
afterAll(() => rmSync(dir, { recursive: true }))

/** Runs the next step of a script at each pause; after it, only a signalled change ends a pause. */
class ScriptedSleeper extends Sleeper {
  constructor (private readonly _steps: Array<() => void>) {
    super()
  }

  async sleep (_ms: number, signal: AbortSignal): Promise<void> {
    const step = this._steps.shift()
    if (step !== undefined) return step()
    if (!signal.aborted) await once(signal, 'abort')
  }
}

test('reads again on the interval and on change, and reports what it can\'t use', async () => {
  const end = new AbortController()
  const path = join(dir, 'fleet.json')
  const failures: string[] = []
  const reader = new FilePlatformReader({
    fleetPath: path,
    hostsPath: join(dir, 'none'),
    rereadMs: 1,
    sleeper: new ScriptedSleeper([() => writeFileSync(path, 'x'.repeat(1_000_001)), () => writeFileSync(path, 'one')]),
    onFailure: ({ failure }) => failures.push(failure)
  })
  const values = reader.watch(PlatformKey.Fleet, end.signal)[Symbol.asyncIterator]()
  expect((await values.next()).value).toEqual({ index: 1, text: 'one' })
  expect(failures.slice(0, 2)).toEqual(['unreachable', 'too-large'])
  const second = values.next()
  setImmediate(() => writeFileSync(path, 'two'))
  expect((await second).value).toMatchObject({ text: 'two' })
  const done = values.next()
  end.abort()
  expect((await done).done).toBe(true)
})
