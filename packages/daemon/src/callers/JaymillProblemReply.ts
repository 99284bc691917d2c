import type { ServerResponse } from 'node:http'
import { toProblem } from '@jaymill/core'

const MS_PER_SECOND = 1_000

/**
 * Answers with a problem document (RFC 9457), or ends a stream that has begun with an error event.
 *
 * @param res - Response to the caller.
 * @param err - What went wrong.
 * @param requestId - Id of the request.
 */
export function sendProblem (res: ServerResponse, err: unknown, requestId?: string): void {
  const problem = toProblem(err, requestId)
  if (res.destroyed || res.writableEnded) return
  if (res.headersSent) {
    endStream(res, JSON.stringify(problem))
    return
  }
  res.statusCode = problem.status
  res.setHeader('Content-Type', 'application/problem+json')
  if (requestId !== undefined) res.setHeader('X-Request-Id', requestId)
  if (problem.retryAfterMs !== undefined) res.setHeader('Retry-After', Math.ceil(problem.retryAfterMs / MS_PER_SECOND))
  res.end(JSON.stringify(problem))
}

function endStream (res: ServerResponse, problem: string): void {
  if (String(res.getHeader('content-type')).startsWith('text/event-stream')) {
    res.end(`event: error\ndata: ${problem}\n\n`)
    return
  }
  res.destroy()
}
