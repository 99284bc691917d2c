import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { AccountConfig, ErrorKind, FleetIndex, RequestError } from '@jaymill/core'

const REQUEST_ID = /^[\w.:-]{1,128}$/
const KEY = /^[\x21-\x7e]{1,255}$/
const MAX_DEADLINE_MS = 3_600_000

/** Headers of a caller's request that the system reads. */
export interface CallerHeaders {
  readonly requestId: string
  readonly idempotencyKey: string | undefined
  /** Time the caller will wait, in milliseconds. */
  readonly deadlineMs: number | undefined
  readonly lastEventId: number | undefined
  /** Route the caller asked for by name. */
  readonly routeId: string | undefined
}

function headerOf (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}

function matching (value: string | undefined, pattern: RegExp, name: string): string | undefined {
  if (value === undefined || pattern.test(value)) return value
  throw new RequestError(ErrorKind.BadRequest, `header ${name} is malformed`)
}

function wholeNumber (value: string | undefined, max: number, name: string): number | undefined {
  if (value === undefined) return undefined
  const number = Number(value)
  if (Number.isInteger(number) && number >= 0 && number <= max) return number
  throw new RequestError(ErrorKind.BadRequest, `header ${name} must be a whole number from 0 to ${max}`)
}

/**
 * Reads the headers.
 *
 * @param req - Request of a caller.
 * @param freshId - Makes a request id when the caller sent none.
 * @returns The headers.
 * @throws RequestError of kind `BadRequest` that names the malformed header.
 */
export function readCallerHeaders (req: IncomingMessage, freshId: () => string): CallerHeaders {
  const key = headerOf(req, 'idempotency-key')?.replace(/^"(.*)"$/, '$1')
  return {
    requestId: matching(headerOf(req, 'x-request-id'), REQUEST_ID, 'X-Request-Id') ?? freshId(),
    idempotencyKey: matching(key, KEY, 'Idempotency-Key'),
    deadlineMs: wholeNumber(headerOf(req, 'x-deadline-ms'), MAX_DEADLINE_MS, 'X-Deadline-Ms'),
    lastEventId: wholeNumber(headerOf(req, 'last-event-id'), Number.MAX_SAFE_INTEGER, 'Last-Event-ID'),
    routeId: headerOf(req, 'x-jaymill-route')
  }
}

/**
 * Finds the account that a request belongs to.
 *
 * @param req - Request of a caller.
 * @param fleet - Look-ups in the configuration in force.
 * @returns The account.
 * @throws RequestError of kind `Unauthorized`.
 */
export function authenticate (req: IncomingMessage, fleet: FleetIndex): AccountConfig {
  const header = headerOf(req, 'authorization')
  if (header === undefined) return fleet.anonymousAccount()
  const token = /^Bearer (.+)$/.exec(header)?.[1]
  if (token === undefined) throw new RequestError(ErrorKind.Unauthorized, 'the header Authorization must be "Bearer KEY"')
  return fleet.account(createHash('sha256').update(token).digest('hex'))
}
