import { invariant } from '../JaymillInvariant.js'
import { TokenEvent } from '../ports/JaymillEngineClient.js'

/** What the assembler did with an event. */
export enum TokenFate {
  /** It is the next token of the answer. */
  Next = 'next',
  /** It arrived before. */
  Repeat = 'repeat',
  /** It belongs to an attempt that has been given up. */
  Late = 'late',
  /** Tokens before it are missing. */
  Gap = 'gap',
  /** The answer was complete already. */
  AfterEnd = 'after-end'
}

/** Puts the events of all attempts of a request into one answer: complete, in order, each token once. */
export class AnswerAssembler {
  private readonly _parts: string[] = []
  private _attempt: number
  private _finishReason: string | null = null

  /**
   * @param prefix - Tokens that an earlier run of the request left behind, from id 1.
   * @param attempt - Number of the first attempt; larger than any of the earlier run.
   */
  constructor (prefix: readonly TokenEvent[] = [], attempt = 1) {
    this._attempt = attempt
    prefix.forEach(token => this._take(token))
  }

  /**
   * @returns Id of the last token; 0 before the first.
   */
  get lastId (): number {
    return this._parts.length
  }

  /**
   * @returns Why the answer ended; `null` while it is incomplete.
   */
  get finishReason (): string | null {
    return this._finishReason
  }

  /**
   * @returns Number of the attempt whose events count.
   */
  get attempt (): number {
    return this._attempt
  }

  /**
   * @returns Text of all tokens.
   */
  text (): string {
    return this._parts.join('')
  }

  /**
   * Gives up all attempts so far; what still arrives from them is dropped.
   *
   * @returns Number of the new attempt.
   */
  nextAttempt (): number {
    this._attempt += 1
    return this._attempt
  }

  /**
   * @param attempt - Attempt that the event belongs to.
   * @param token - The event.
   * @returns What became of it; only `Next` is part of the answer.
   */
  accept (attempt: number, token: TokenEvent): TokenFate {
    if (attempt !== this._attempt) return TokenFate.Late
    if (token.id <= this.lastId) return TokenFate.Repeat
    if (this._finishReason !== null) return TokenFate.AfterEnd
    if (token.id > this.lastId + 1) return TokenFate.Gap
    this._take(token)
    return TokenFate.Next
  }

  private _take (token: TokenEvent): void {
    invariant(token.id === this._parts.length + 1, 'tokens are taken in order')
    this._parts.push(token.text)
    this._finishReason = token.finishReason
  }
}
