import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ProgressTimer } from '../../endpoints/JaymillProgressTimer.js'

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

test('a slow reader does not make a stream time out', () => {
  let timeouts = 0
  const timer = new ProgressTimer(() => { timeouts += 1 })
  timer.wait(100)
  timer.pause()
  vi.advanceTimersByTime(1_000)
  expect(timeouts).toBe(0)
  timer.wait(100)
  vi.advanceTimersByTime(99)
  expect(timeouts).toBe(0)
  vi.advanceTimersByTime(1)
  expect(timeouts).toBe(1)
})
