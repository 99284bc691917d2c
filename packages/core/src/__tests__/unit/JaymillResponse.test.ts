import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { ErrorKind, RanState } from '../../errors/JaymillError.js'
import { RequestError } from '../../errors/JaymillRequestError.js'
import { TokenEvent } from '../../ports/JaymillEngineClient.js'
import { ResponseAssembler, TokenOutcome } from '../../streams/JaymillResponseAssembler.js'
import { ResponseOpenOutcome, ResponseStore } from '../../streams/JaymillResponseStore.js'

const token = (id: number, text = `t${id} `, finishReason: string | null = null): TokenEvent => ({ id, text, finishReason })
const noop = (): void => {}

describe('ResponseAssembler', () => {
  test('accepts each token once and in order for any mix of duplicates, stale attempts and reordering', () => {
    const events = fc.array(fc.record({ attempt: fc.constantFrom(1, 2), id: fc.integer({ min: 1, max: 6 }) }), { maxLength: 60 })
    fc.assert(fc.property(events, arrivals => {
      const assembler = new ResponseAssembler()
      const accepted = arrivals.filter(({ attempt, id }, i) => {
        if (i === 30) assembler.nextAttempt()
        return assembler.accept(attempt, token(id, `${attempt}`)) === TokenOutcome.Next
      })
      expect(accepted.map(({ id }) => id)).toEqual(accepted.map((_, i) => i + 1))
      expect(assembler.text()).toBe(accepted.map(({ attempt }) => attempt).join(''))
      expect(accepted.map(({ attempt }) => attempt)).toEqual(accepted.map(({ attempt }) => attempt).sort())
    }), { seed: 7, numRuns: 500 })
  })

  test('classifies gaps, events of stale attempts and events after the end', () => {
    const assembler = new ResponseAssembler()
    expect(assembler.accept(1, token(2))).toBe(TokenOutcome.Gap)
    expect(assembler.accept(1, token(1))).toBe(TokenOutcome.Next)
    expect(assembler.accept(assembler.nextAttempt(), token(2, 'b', 'stop'))).toBe(TokenOutcome.Next)
    expect(assembler.accept(1, token(3))).toBe(TokenOutcome.Late)
    expect(assembler.accept(2, token(3))).toBe(TokenOutcome.AfterEnd)
  })
})

describe('ResponseStore', () => {
  test('a retry joins the running response after its last id and supersedes the earlier connection', () => {
    const store = new ResponseStore()
    const first = store.open('k', 'f', 0)
    const reader = first.buffer.attach(0, noop)
    first.buffer.append(token(1))
    expect(reader.take()).toEqual([token(1)])
    const retry = store.open('k', 'f', 5)
    expect(retry.outcome).toBe(ResponseOpenOutcome.Joined)
    const second = retry.buffer.attach(1, noop)
    first.buffer.append(token(2, 'end', 'stop'))
    first.buffer.end(null)
    expect(() => reader.take()).toThrow(expect.objectContaining({ kind: ErrorKind.Superseded }))
    expect([second.take(), second.ended, first.buffer.detach(reader)]).toEqual([[token(2, 'end', 'stop')], true, false])
  })

  test('continues a failed response after its tokens, replays a complete one and refuses the key for another request', () => {
    const store = new ResponseStore()
    const first = store.open('k', 'f', 0)
    first.buffer.append(token(1))
    first.buffer.end(new RequestError(ErrorKind.CallerGone, 'gone'))
    store.markEnded('k', first.buffer, 1)
    const second = store.open('k', 'f', 2)
    expect([second.outcome, second.previous?.tokensAfter(0)]).toEqual([ResponseOpenOutcome.Continued, [token(1)]])
    second.buffer.end(null)
    store.markEnded('k', second.buffer, 3)
    expect(store.open('k', 'f', 4).outcome).toBe(ResponseOpenOutcome.Joined)
    expect(() => store.open('k', 'other', 5)).toThrow(expect.objectContaining({ kind: ErrorKind.KeyConflict, ran: RanState.No }))
  })

  test('stays within its limits and drops the response that ended first', () => {
    const store = new ResponseStore({ maxResponses: 2, maxBytes: 10_000, retentionMs: 100 })
    const kept = ['a', 'b'].map(key => ({ key, buffer: store.open(key, 'f', 0).buffer }))
    expect(() => store.open('c', 'f', 0)).toThrow(expect.objectContaining({ kind: ErrorKind.Overloaded, ran: RanState.No }))
    kept.forEach(({ key, buffer }, i) => {
      buffer.append(token(1))
      buffer.end(null)
      store.markEnded(key, buffer, i)
    })
    const third = store.open('c', 'f', 2)
    expect([third.outcome, store.size, store.open('b', 'f', 2).outcome]).toEqual([ResponseOpenOutcome.New, 2, ResponseOpenOutcome.Joined])
    kept[1]?.buffer.append(token(2))
    expect(kept[1]?.buffer.tokensAfter(0)).toEqual([token(1)])
    expect(() => third.buffer.append(token(1, 'x'.repeat(2_000_000)))).toThrow(expect.objectContaining({ kind: ErrorKind.TooLarge }))
    store.remove('c')
    store.open('d', 'f', 500)
    expect(store.bytes).toBe(0)
  })
})
