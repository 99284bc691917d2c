import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { BoundedOutput } from '../../logging/JaymillBoundedOutput.js'

const LINES = Array.from({ length: 500 }, (_, i) => `line ${i}\n`)

let folder: string
let fd: number

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'jaymill-log-'))
  fd = openSync(join(folder, 'log'), 'w')
})

afterEach(() => {
  closeSync(fd)
  rmSync(folder, { recursive: true })
})

const written = (): string => readFileSync(join(folder, 'log'), 'utf8')

// Guards against a host whose last log lines, those about its stop, are lost when its process exits.
test('is flushed when all lines so far have been written', async () => {
  const output = new BoundedOutput(fd)
  LINES.forEach(line => output.write(line))
  expect(written()).not.toBe(LINES.join(''))
  await output.flushed()
  expect(written()).toBe(LINES.join(''))
})

test('is flushed at once when no line waits', async () => {
  await new BoundedOutput(fd).flushed()
  expect(written()).toBe('')
})
