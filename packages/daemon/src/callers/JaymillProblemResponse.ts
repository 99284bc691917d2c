import type { ServerResponse } from 'node:http'
import { toProblem } from '@jaymill/core'
import { abortResponse, isRelayed } from './JaymillRelayedResponse.js'

const MS_PER_SECOND = 1_000

/**
 * Responds with a problem document (RFC 9457). An event stream of this host that has already started ends with an error event;
 * any other response that has already started is broken off, so that it does not look complete.
 *
 * @param res - Response to the caller.
 * @param err - Error to report.
 * @param requestId - Id of the request, if known.
 */
export function sendProblem (res: ServerResponse, err: unknown, requestId?: string): void {
  const problem = toProblem(err, requestId)
  if (res.destroyed || res.writableEnded) return
  if (res.headersSent) {
    endWithProblem(res, JSON.stringify(problem))
    return
  }
  res.statusCode = problem.status
  res.setHeader('Content-Type', 'application/problem+json')
  if (requestId !== undefined) res.setHeader('X-Request-Id', requestId)
  if (problem.retryAfterMs !== undefined) res.setHeader('Retry-After', Math.ceil(problem.retryAfterMs / MS_PER_SECOND))
  res.end(JSON.stringify(problem))
}

function endWithProblem (res: ServerResponse, problem: string): void {
  if (!isRelayed(res) && String(res.getHeader('content-type')).startsWith('text/event-stream')) {
    res.end(`event: error\ndata: ${problem}\n\n`)
    return
  }
  abortResponse(res)
}
