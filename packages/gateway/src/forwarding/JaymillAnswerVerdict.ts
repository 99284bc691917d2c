import type { IncomingHttpHeaders } from 'node:http'
import type { AnswerFacts, WireDialect } from '../ports/JaymillWireDialect.js'

/** What an endpoint's answer means for the request. */
export enum Verdict {
  /** Success; the body is still to come. */
  Success = 'success',
  /** The endpoint did not run the request. */
  NotRun = 'not-run',
  /** The endpoint ran the request and it failed; the answer may be passed on. */
  Failed = 'failed',
  /** Not an answer to this request; the request may have run. */
  Unusable = 'unusable'
}

/** Statuses that promise a caller that the request has not run. */
const PROMISES = [408, 421, 429, 503]

/**
 * @param dialect - Names on the wire.
 * @param requestId - Id of the request.
 * @param status - Status of the answer.
 * @param headers - Its headers.
 * @returns What the answer means.
 */
export function verdictOf (dialect: WireDialect, requestId: string, status: number, headers: IncomingHttpHeaders): Verdict {
  const facts = dialect.answerFacts(status, headers)
  if (facts.misdirected || (facts.notRun && status >= 400)) return Verdict.NotRun
  if (!isOwn(facts, requestId)) return Verdict.Unusable
  if (status >= 200 && status < 300) return Verdict.Success
  return PROMISES.includes(status) ? Verdict.Unusable : Verdict.Failed
}

function isOwn ({ requestId, signed, encoded }: AnswerFacts, expected: string): boolean {
  return requestId === expected && signed && !encoded
}
