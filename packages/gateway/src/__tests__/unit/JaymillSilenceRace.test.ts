import { PassThrough } from 'node:stream'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { EventAssembler } from '@jaymill/core'
import { ExchangeError, ExchangeFailure } from '../../endpoints/JaymillExchangeError.js'
import { raceSilence, type SilenceRaceOptions, type SilenceRaceResult } from '../../forwarding/JaymillSilenceRace.js'
import { RunEnd, StreamRun } from '../../forwarding/JaymillStreamRun.js'

const SILENCE_MS = 1_000

let ends: RunEnd[] = []
let signals: AbortSignal[] = []
let caller: AbortController

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] })
  ends = []
  signals = []
  caller = new AbortController()
})

afterEach(() => { vi.useRealTimers() })

function createRun (): StreamRun {
  return new StreamRun({
    response: { status: 200, headers: {}, body: new PassThrough() },
    target: 'other',
    silenceMs: SILENCE_MS,
    finished: new AbortController(),
    onFirst: () => {},
    onEvents: () => {},
    onSilent: () => {},
    onContinued: () => {},
    onEnd: end => ends.push(end)
  }, { events: new EventAssembler(), hasEvents: true, endsWithConnection: false })
}

/** Lets time pass, and then one turn of the event loop. */
async function advance (ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms)
  await new Promise(resolve => { setImmediate(resolve) })
}

/** A promise that a test settles. */
class Step<T> {
  resolve: (value: T) => void = () => {}
  reject: (err: Error) => void = () => {}
  readonly promise = new Promise<T>((resolve, reject) => {
    this.resolve = resolve
    this.reject = reject
  })
}

function race (own: Step<string>, replacements: ReadonlyArray<Step<StreamRun | undefined>>, overrides: Partial<SilenceRaceOptions<string>> = {}): Promise<SilenceRaceResult<string>> {
  const result = raceSilence(own.promise, {
    signal: caller.signal,
    silenceMs: SILENCE_MS,
    isUsable: () => true,
    replace: async signal => {
      signals.push(signal)
      return await (replacements[signals.length - 1]?.promise ?? Promise.resolve(undefined))
    },
    onSilent: () => {},
    ...overrides
  })
  result.catch(() => {})
  return result
}

test('prepares no replacement when the run goes on in time', async () => {
  const own = new Step<string>()
  const result = race(own, [])
  await advance(SILENCE_MS - 1)
  own.resolve('step')
  expect(await result).toEqual({ own: 'step' })
  expect(signals).toHaveLength(0)
})

test('returns the replacement when it comes first, and leaves its signal alone', async () => {
  const replacement = new Step<StreamRun | undefined>()
  const result = race(new Step(), [replacement])
  await advance(SILENCE_MS)
  const run = createRun()
  replacement.resolve(run)
  expect(await result).toEqual({ replacement: run })
  expect(signals.map(({ aborted }) => aborted)).toEqual([false])
  expect(ends).toEqual([])
})

test('returns the own step when it comes first, cancels the replacement, and ends one that begins later', async () => {
  const own = new Step<string>()
  const replacement = new Step<StreamRun | undefined>()
  const result = race(own, [replacement])
  await advance(SILENCE_MS)
  own.resolve('step')
  expect(await result).toEqual({ own: 'step' })
  expect(signals.map(({ aborted }) => aborted)).toEqual([true])
  replacement.resolve(createRun())
  await advance(0)
  expect(ends).toEqual([RunEnd.Unneeded])
})

test('waits for the replacement when the own run breaks off meanwhile', async () => {
  const own = new Step<string>()
  const replacement = new Step<StreamRun | undefined>()
  const result = race(own, [replacement])
  await advance(SILENCE_MS)
  own.reject(new ExchangeError(ExchangeFailure.Broken, 'broken'))
  await advance(0)
  const run = createRun()
  replacement.resolve(run)
  expect(await result).toEqual({ replacement: run })
})

test('waits for the replacement when the own run has nothing to continue with', async () => {
  const own = new Step<string>()
  const replacement = new Step<StreamRun | undefined>()
  const result = race(own, [replacement], { isUsable: () => false })
  await advance(SILENCE_MS)
  own.resolve('refused')
  await advance(0)
  const run = createRun()
  replacement.resolve(run)
  expect(await result).toEqual({ replacement: run })
})

test('fails with the own run when there is no replacement either', async () => {
  const own = new Step<string>()
  const replacement = new Step<StreamRun | undefined>()
  const result = race(own, [replacement])
  await advance(SILENCE_MS)
  own.reject(new ExchangeError(ExchangeFailure.Broken, 'broken'))
  replacement.resolve(undefined)
  await expect(result).rejects.toThrow('broken')
})

test('waits on, and asks for a replacement again, while there is none', async () => {
  const own = new Step<string>()
  const onSilent = vi.fn()
  const result = race(own, [], { onSilent })
  await advance(SILENCE_MS)
  await advance(SILENCE_MS)
  await advance(SILENCE_MS)
  expect(signals).toHaveLength(3)
  expect(onSilent).toHaveBeenCalledTimes(1)
  own.resolve('step')
  expect(await result).toEqual({ own: 'step' })
})

test('cancels the replacement when the request is aborted', async () => {
  const own = new Step<string>()
  const result = race(own, [new Step<StreamRun | undefined>()])
  await advance(SILENCE_MS)
  caller.abort()
  expect(signals.map(({ aborted }) => aborted)).toEqual([true])
  own.resolve('step')
  await result
})

// Guards against runs that are taken for silent since timers run before sockets are read when a paused process goes on.
test('does not take a run for silent whose step has arrived while the process stood still', async () => {
  vi.useRealTimers()
  const onSilent = vi.fn()
  const own = new Step<string>()
  setImmediate(() => own.resolve('step'))
  const result = race(own, [], { silenceMs: 10, onSilent })
  const endMs = performance.now() + 50
  while (performance.now() < endMs) { /* The process does nothing else. */ }
  expect(await result).toEqual({ own: 'step' })
  expect(onSilent).not.toHaveBeenCalled()
})
