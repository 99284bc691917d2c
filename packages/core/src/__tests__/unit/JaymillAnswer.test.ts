import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { ErrorKind, RanState } from '../../errors/JaymillError.js'
import { RequestError } from '../../errors/JaymillRequestError.js'
import { TokenEvent } from '../../ports/JaymillEngineClient.js'
import { AnswerAssembler, TokenFate } from '../../streams/JaymillAnswerAssembler.js'
import { AnswerJoin, AnswerStore } from '../../streams/JaymillAnswerStore.js'

const token = (id: number, text = `t${id} `, finishReason: string | null = null): TokenEvent => ({ id, text, finishReason })
const noop = (): void => {}

describe('AnswerAssembler', () => {
  test('any mix of repeats, late attempts and reordering gives each token once and in order', () => {
    const events = fc.array(fc.record({ attempt: fc.constantFrom(1, 2), id: fc.integer({ min: 1, max: 6 }) }), { maxLength: 60 })
    fc.assert(fc.property(events, arrivals => {
      const assembler = new AnswerAssembler()
      const taken = arrivals.filter(({ attempt, id }, i) => {
        if (i === 30) assembler.nextAttempt()
        return assembler.accept(attempt, token(id, `${attempt}`)) === TokenFate.Next
      })
      expect(taken.map(({ id }) => id)).toEqual(taken.map((_, i) => i + 1))
      expect(assembler.text()).toBe(taken.map(({ attempt }) => attempt).join(''))
      expect(taken.map(({ attempt }) => attempt)).toEqual(taken.map(({ attempt }) => attempt).sort())
    }), { seed: 7, numRuns: 500 })
  })

  test('names gaps, late events and events after the end', () => {
    const assembler = new AnswerAssembler()
    expect(assembler.accept(1, token(2))).toBe(TokenFate.Gap)
    expect(assembler.accept(1, token(1))).toBe(TokenFate.Next)
    expect(assembler.accept(assembler.nextAttempt(), token(2, 'b', 'stop'))).toBe(TokenFate.Next)
    expect(assembler.accept(1, token(3))).toBe(TokenFate.Late)
    expect(assembler.accept(2, token(3))).toBe(TokenFate.AfterEnd)
  })
})

describe('AnswerStore', () => {
  test('a resend joins the running answer after its last id and supersedes the earlier connection', () => {
    const store = new AnswerStore()
    const first = store.open('k', 'f', 0)
    const reader = first.buffer.attach(0, noop)
    first.buffer.append(token(1))
    expect(reader.take()).toEqual([token(1)])
    const resend = store.open('k', 'f', 5)
    expect(resend.join).toBe(AnswerJoin.Joined)
    const second = resend.buffer.attach(1, noop)
    first.buffer.append(token(2, 'end', 'stop'))
    first.buffer.end(null)
    expect(() => reader.take()).toThrow(expect.objectContaining({ kind: ErrorKind.Superseded }))
    expect([second.take(), second.ended, first.buffer.detach(reader)]).toEqual([[token(2, 'end', 'stop')], true, false])
  })

  test('a failed answer is continued from its tokens, a complete one replayed, another body refused', () => {
    const store = new AnswerStore()
    const first = store.open('k', 'f', 0)
    first.buffer.append(token(1))
    first.buffer.end(new RequestError(ErrorKind.CallerGone, 'gone'))
    store.ended('k', first.buffer, 1)
    const second = store.open('k', 'f', 2)
    expect([second.join, second.previous?.after(0)]).toEqual([AnswerJoin.Continued, [token(1)]])
    second.buffer.end(null)
    store.ended('k', second.buffer, 3)
    expect(store.open('k', 'f', 4).join).toBe(AnswerJoin.Joined)
    expect(() => store.open('k', 'other', 5)).toThrow(expect.objectContaining({ kind: ErrorKind.KeyConflict, ran: RanState.No }))
  })

  test('holds no more than its bounds and forgets the oldest ended answer first', () => {
    const store = new AnswerStore({ maxAnswers: 2, maxBytes: 10_000, keepMs: 100 })
    const kept = ['a', 'b'].map(key => ({ key, buffer: store.open(key, 'f', 0).buffer }))
    expect(() => store.open('c', 'f', 0)).toThrow(expect.objectContaining({ kind: ErrorKind.Overloaded, ran: RanState.No }))
    kept.forEach(({ key, buffer }, i) => {
      buffer.append(token(1))
      buffer.end(null)
      store.ended(key, buffer, i)
    })
    const third = store.open('c', 'f', 2)
    expect([third.join, store.size, store.open('b', 'f', 2).join]).toEqual([AnswerJoin.New, 2, AnswerJoin.Joined])
    kept[1]?.buffer.append(token(2))
    expect(kept[1]?.buffer.after(0)).toEqual([token(1)])
    expect(() => third.buffer.append(token(1, 'x'.repeat(2_000_000)))).toThrow(expect.objectContaining({ kind: ErrorKind.TooLarge }))
    store.forget('c')
    store.open('d', 'f', 500)
    expect(store.bytes).toBe(0)
  })
})
