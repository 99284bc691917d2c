import { PassThrough } from 'node:stream'
import { beforeEach, expect, test } from 'vitest'
import { EventAssembler } from '@jaymill/core'
import { ExchangeError, ExchangeFailure } from '../../endpoints/JaymillExchangeError.js'
import { RunEnd, StreamRun } from '../../forwarding/JaymillStreamRun.js'

let body: PassThrough
let finished: AbortController
let ends: Array<readonly [RunEnd, ExchangeFailure | undefined]>

beforeEach(() => {
  body = new PassThrough()
  body.on('error', () => {})
  finished = new AbortController()
  ends = []
})

function createRun (endsWithConnection = false): StreamRun {
  return new StreamRun({
    response: { status: 200, headers: {}, body },
    target: 'e1',
    silenceMs: undefined,
    finished,
    onFirst: () => {},
    onEvents: () => {},
    onSilent: () => {},
    onContinued: () => {},
    onEnd: (end, failure) => ends.push([end, failure])
  }, { events: new EventAssembler(), hasEvents: true, endsWithConnection })
}

test('waits until an event is complete, which stays the next piece until it is taken', async () => {
  const run = createRun()
  body.write('id: 1\nda')
  setImmediate(() => body.write('ta: x\n\n'))
  await run.peek()
  expect((await run.peek()).bytes.toString()).toBe('id: 1\ndata: x\n\n')
  expect((await run.peek()).lastId).toBe('1')
})

test('ends with a piece without events when the response is complete', async () => {
  const run = createRun()
  body.end()
  expect((await run.peek()).final).toBe(true)
})

test('fails when the response breaks off inside an event', async () => {
  const run = createRun()
  body.write('id: 1\nda')
  setImmediate(() => body.destroy(new ExchangeError(ExchangeFailure.Broken, 'reset')))
  await expect(run.peek()).rejects.toThrow('reset')
  run.end(RunEnd.Broken)
  expect(ends).toEqual([[RunEnd.Broken, ExchangeFailure.Broken]])
})

test('breaks off when its response ends inside an event, or ends without an event with its connection', async () => {
  const inside = createRun()
  body.end('id: 1\nda')
  await expect(inside.peek()).rejects.toThrow('inside an event')
  body = new PassThrough()
  const empty = createRun(true)
  body.end()
  await expect(empty.peek()).rejects.toThrow('inside an event')
})

test('ends once, closes the response and releases what is tracked', async () => {
  const run = createRun()
  run.end(RunEnd.Replaced)
  run.end(RunEnd.Complete)
  expect(ends).toEqual([[RunEnd.Replaced, undefined]])
  expect(body.destroyed).toBe(true)
  expect(finished.signal.aborted).toBe(true)
})
