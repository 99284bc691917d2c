import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { AccountConfig, ErrorKind, FleetIndex, RequestError } from '@jaymill/core'

const REQUEST_ID_PATTERN = /^[\w.:-]{1,128}$/
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/
const MAX_DEADLINE_MS = 3_600_000

/** Headers of a caller's request that the router interprets. */
export interface CallerHeaders {
  readonly requestId: string
  readonly idempotencyKey: string | undefined
  /** Time limit that the caller requests, in milliseconds. */
  readonly deadlineMs: number | undefined
  readonly lastEventId: number | undefined
  /** Route that the caller names, if any. */
  readonly routeId: string | undefined
}

function headerOf (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function requireMatch (value: string | undefined, pattern: RegExp, name: string): string | undefined {
  if (value === undefined || pattern.test(value)) return value
  throw new RequestError(ErrorKind.BadRequest, `header ${name} is malformed`)
}

function parseWholeNumber (value: string | undefined, max: number, name: string): number | undefined {
  if (value === undefined) return undefined
  const parsed = Number(value)
  if (Number.isInteger(parsed) && parsed >= 0 && parsed <= max) return parsed
  throw new RequestError(ErrorKind.BadRequest, `header ${name} must be a whole number from 0 to ${max}`)
}

/**
 * Parses and validates the headers of a request.
 *
 * @param req - Request of a caller.
 * @param createId - Generates a request id if the caller sent none.
 * @returns The headers.
 * @throws RequestError of kind `BadRequest` that names the malformed header.
 */
export function readCallerHeaders (req: IncomingMessage, createId: () => string): CallerHeaders {
  const key = headerOf(req, 'idempotency-key')?.replace(/^"(.*)"$/, '$1')
  return {
    requestId: requireMatch(headerOf(req, 'x-request-id'), REQUEST_ID_PATTERN, 'X-Request-Id') ?? createId(),
    idempotencyKey: requireMatch(key, IDEMPOTENCY_KEY_PATTERN, 'Idempotency-Key'),
    deadlineMs: parseWholeNumber(headerOf(req, 'x-deadline-ms'), MAX_DEADLINE_MS, 'X-Deadline-Ms'),
    lastEventId: parseWholeNumber(headerOf(req, 'last-event-id'), Number.MAX_SAFE_INTEGER, 'Last-Event-ID'),
    routeId: headerOf(req, 'x-jaymill-route')
  }
}

/**
 * Finds the account of a request by its bearer token.
 *
 * @param req - Request of a caller.
 * @param fleet - Index of the active configuration.
 * @returns The account; the anonymous account if there is no `Authorization` header.
 * @throws RequestError of kind `Unauthorized` if the token is malformed or unknown.
 */
export function authenticate (req: IncomingMessage, fleet: FleetIndex): AccountConfig {
  const header = headerOf(req, 'authorization')
  if (header === undefined) return fleet.anonymousAccount()
  const token = /^Bearer (.+)$/.exec(header)?.[1]
  if (token === undefined) throw new RequestError(ErrorKind.Unauthorized, 'the header Authorization must be "Bearer KEY"')
  return fleet.account(createHash('sha256').update(token).digest('hex'))
}
