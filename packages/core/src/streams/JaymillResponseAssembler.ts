import { invariant } from '../JaymillInvariant.js'
import { TokenEvent } from '../ports/JaymillEngineClient.js'

/** How the assembler classified a token event. */
export enum TokenOutcome {
  /** It is the next token and was appended. */
  Next = 'next',
  /** It is a duplicate. */
  Repeat = 'repeat',
  /** It belongs to an attempt that has been superseded. */
  Late = 'late',
  /** Tokens before it are missing. */
  Gap = 'gap',
  /** The response was already complete. */
  AfterEnd = 'after-end'
}

/** Assembles the token events of all attempts of a request into one response: complete, in order, each token once. */
export class ResponseAssembler {
  private readonly _texts: string[] = []
  private _attempt: number
  private _finishReason: string | null = null

  /**
   * @param prefix - Tokens that an earlier run of the request generated, starting at id 1.
   * @param attempt - Number of the first attempt; larger than any of the earlier run.
   */
  constructor (prefix: readonly TokenEvent[] = [], attempt = 1) {
    this._attempt = attempt
    prefix.forEach(token => this._append(token))
  }

  /**
   * @returns Id of the last token; 0 before the first one.
   */
  get lastId (): number {
    return this._texts.length
  }

  /**
   * @returns Finish reason of the response; `null` while it is incomplete.
   */
  get finishReason (): string | null {
    return this._finishReason
  }

  /**
   * @returns Number of the current attempt; events of other attempts are dropped.
   */
  get attempt (): number {
    return this._attempt
  }

  /**
   * @returns Concatenated text of all tokens.
   */
  text (): string {
    return this._texts.join('')
  }

  /**
   * Starts a new attempt; events that still arrive from earlier ones are dropped.
   *
   * @returns Number of the new attempt.
   */
  nextAttempt (): number {
    this._attempt += 1
    return this._attempt
  }

  /**
   * Appends a token if it is the next one of the current attempt.
   *
   * @param attempt - Attempt that the event belongs to.
   * @param token - The event.
   * @returns How it was classified; only `Next` becomes part of the response.
   */
  accept (attempt: number, token: TokenEvent): TokenOutcome {
    if (attempt !== this._attempt) return TokenOutcome.Late
    if (token.id <= this.lastId) return TokenOutcome.Repeat
    if (this._finishReason !== null) return TokenOutcome.AfterEnd
    if (token.id > this.lastId + 1) return TokenOutcome.Gap
    this._append(token)
    return TokenOutcome.Next
  }

  private _append (token: TokenEvent): void {
    invariant(token.id === this._texts.length + 1, 'tokens are appended in order')
    this._texts.push(token.text)
    this._finishReason = token.finishReason
  }
}
