import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseMetadata, WireDialect } from '../ports/JaymillWireDialect.js'

/** Result of a call to an endpoint; decides whether the response is forwarded or the request may be retried. */
export enum ResponseVerdict {
  /** Success status; the body may not have arrived yet. */
  Success = 'success',
  /** The endpoint did not run the request. */
  NotRun = 'not-run',
  /** The endpoint ran the request and it failed; the response may be forwarded to the caller. */
  Failed = 'failed',
  /** No valid response to this request; the request may have run. */
  Unusable = 'unusable'
}

/** Statuses that tell a caller that the request has not run. They are not forwarded, because the endpoint may have run it. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

/**
 * Classifies the head of an endpoint's response.
 *
 * @param dialect - Names and formats on the wire.
 * @param requestId - Id of the request.
 * @param status - Status of the response.
 * @param headers - Headers of the response.
 * @returns The verdict.
 */
export function classifyResponse (
  dialect: WireDialect, requestId: string, status: number, headers: IncomingHttpHeaders
): ResponseVerdict {
  const metadata = dialect.responseMetadata(status, headers)
  if (isOfOtherRequest(metadata, requestId)) return ResponseVerdict.Unusable
  if (metadata.misdirected || (metadata.notRun && status >= 400)) return ResponseVerdict.NotRun
  if (!belongsToRequest(metadata, requestId)) return ResponseVerdict.Unusable
  if (status >= 200 && status < 300) return ResponseVerdict.Success
  return NOT_RUN_STATUSES.includes(status) ? ResponseVerdict.Unusable : ResponseVerdict.Failed
}

/**
 * Tells whether a response names another request than the one that it seems to answer. An endpoint may send a response once more,
 * which then arrives where the next one is expected.
 *
 * @param metadata - Metadata of the response.
 * @param expected - Id of the request.
 * @returns Whether it names another request; one that names none may be of this request.
 */
export function isOfOtherRequest ({ requestId }: ResponseMetadata, expected: string): boolean {
  return requestId !== undefined && requestId !== expected
}

function belongsToRequest ({ requestId, signed, encoded }: ResponseMetadata, expected: string): boolean {
  return requestId === expected && signed && !encoded
}
