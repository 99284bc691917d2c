import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { DocumentKey } from '@jaymill/core'
import { afterAll, expect, test } from 'vitest'
import { FileConfigSource } from '../../platform/JaymillFileConfigSource.js'
import { Sleeper } from '../../platform/JaymillSleeper.js'

const dir = mkdtempSync(join(tmpdir(), 'jaymill-'))
afterAll(() => rmSync(dir, { recursive: true }))

/** Runs one scripted step for each sleep; after the last step, only a change of the file ends the wait. */
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

test('reads the file after the interval and after a change, and reports failed reads', async () => {
  const end = new AbortController()
  const path = join(dir, 'fleet.json')
  const failures: string[] = []
  const source = new FileConfigSource({
    fleetPath: path,
    hostsPath: join(dir, 'none'),
    rereadMs: 1,
    sleeper: new ScriptedSleeper([() => writeFileSync(path, 'x'.repeat(1_000_001)), () => writeFileSync(path, 'one')]),
    onFailure: ({ failure }) => failures.push(failure)
  })
  const values = source.watch(DocumentKey.Fleet, end.signal)[Symbol.asyncIterator]()
  expect((await values.next()).value).toEqual({ index: 1, text: 'one' })
  expect(failures.slice(0, 2)).toEqual(['unreachable', 'too-large'])
  const second = values.next()
  setImmediate(() => writeFileSync(path, 'two'))
  expect((await second).value).toMatchObject({ text: 'two' })
  const done = values.next()
  end.abort()
  expect((await done).done).toBe(true)
})
