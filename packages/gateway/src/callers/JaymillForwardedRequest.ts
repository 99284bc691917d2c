import type { IncomingHttpHeaders } from 'node:http'
import type { GatewayRoute } from '@jaymill/core'

/** Headers of a request that another host forwards, in lower case. They are neither taken from callers nor sent to endpoints. */
export enum ForwardedHeader {
  /** Version of the configuration in force on the host that forwards the request. */
  Config = 'jaymill-config',
  /** Number of endpoints that may still run the request. */
  Attempts = 'jaymill-attempts',
  /** Name of the caller's account, whose key the host that forwards the request has checked. */
  Account = 'jaymill-account'
}

const FORWARDED_HEADERS: readonly string[] = Object.values(ForwardedHeader)

/** Metadata of a request that another host forwards. */
export interface ForwardedMetadata {
  readonly configVersion: number
  readonly attempts: number
  /** Name of the caller's account; absent when the request has none. */
  readonly account?: string
}

/**
 * @param name - Name of a header, in lower case.
 * @returns Whether only hosts send it to each other.
 */
export function isForwardedHeader (name: string): boolean {
  return FORWARDED_HEADERS.includes(name)
}

/**
 * Formats the metadata of a request for another host.
 *
 * @param metadata - The metadata.
 * @returns Alternating names and values.
 */
export function forwardedMetadataHeaders ({ configVersion, attempts, account }: ForwardedMetadata): readonly string[] {
  const accountHeader = account === undefined ? [] : [ForwardedHeader.Account, account]
  return [ForwardedHeader.Config, String(configVersion), ForwardedHeader.Attempts, String(attempts), ...accountHeader]
}

/**
 * Reads the metadata of a request that another host forwards.
 *
 * @param headers - Headers of the request.
 * @returns The metadata; with missing or malformed numbers, no configuration is required and one endpoint may run the request.
 */
export function readForwardedMetadata (headers: IncomingHttpHeaders): ForwardedMetadata {
  const account = headers[ForwardedHeader.Account]
  return {
    configVersion: countOf(headers[ForwardedHeader.Config]) ?? 0,
    attempts: Math.max(1, countOf(headers[ForwardedHeader.Attempts]) ?? 1),
    ...(typeof account === 'string' ? { account } : {})
  }
}

/**
 * Limits a route to the endpoints that may still run a forwarded request.
 *
 * @param route - Route of the request.
 * @param metadata - Metadata of the request.
 * @returns The route with its limit.
 */
export function limitAttempts (route: GatewayRoute, { attempts }: ForwardedMetadata): GatewayRoute {
  return { ...route, maxAttempts: Math.min(route.maxAttempts, attempts) }
}

function countOf (value: string | string[] | undefined): number | undefined {
  const count = Number(value)
  return value === undefined || !Number.isSafeInteger(count) || count < 0 ? undefined : count
}
