import { CALLER_TIMEOUT_GAP_FACTOR, CALLER_TIMEOUT_MIN_MS, CALLER_TIMEOUT_TARGET_FACTOR } from './constants.js'

/** Determines whether a request may run more than once. */
export enum RouteKind {
  /** Idempotent; may run more than once. */
  Safe = 'safe',
  /** Runs at most once for each request id. */
  Unsafe = 'unsafe',
  /** Responds with server-sent events; runs at most once unless the route is resumable. */
  Streaming = 'streaming'
}

/** Share of a route's requests that goes to one service. */
export interface RouteTarget {
  readonly service: string
  /** Relative to the other targets of the route; greater than 0. */
  readonly weight: number
}

/** Maps requests for a host name and path prefix to services. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Longest time to wait for a response, in milliseconds. */
  readonly timeoutMs: number
  /** Latency target of a response, in milliseconds. */
  readonly targetLatencyMs: number
  /** Latency target between two events of a stream, in milliseconds. */
  readonly gapTargetMs?: number
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Maximum number of endpoints that a request may run on. */
  readonly maxAttempts: number
  /** Whether another endpoint may resume a stream after its last event. */
  readonly resumable: boolean
  /** Whether callers need no key even if the configuration has accounts. */
  readonly isPublic?: boolean
}

/** Unit in which the quota of an account is counted. */
export enum QuotaUnit {
  Requests = 'requests',
  /** Prompt tokens plus the maximum number of output tokens. */
  Tokens = 'tokens'
}

/** Rate limit of a client account over all hosts together. */
export interface AccountQuota {
  readonly unit: QuotaUnit
  /** Units per second; greater than 0. */
  readonly ratePerS: number
  /** Units that may be used at once in addition to the rate. */
  readonly burst: number
  /** Cost of a request that declares no tokens; only for `QuotaUnit.Tokens`. */
  readonly plainTokens: number
}

/** A client account: the callers that share a name, keys and a quota. */
export interface ClientAccount {
  readonly name: string
  readonly keys: readonly string[]
  /** Replaces the priority of the routes for requests of the account; 0 is the most urgent. */
  readonly priority?: number
  /** Absent without a limit. */
  readonly quota?: AccountQuota
}

/** Capabilities of the engines of a service. */
export interface EngineTraits {
  readonly slots: number
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number
  /** Time for which an engine retains a prefill result that is not fetched, in milliseconds. */
  readonly handleTtlMs: number
  /** Longest reservation that an engine grants, in milliseconds. */
  readonly reservationMaxMs: number
  /** Time that an engine takes to change its role after its running requests have ended, in milliseconds. */
  readonly stageChangeMs: number
}

/** A group of interchangeable endpoints. */
export interface GatewayService {
  readonly name: string
  readonly healthPath: string
  /** Maximum number of connections that one endpoint accepts, from all hosts together. */
  readonly maxConnections: number
  /** Present when the endpoints are language-model engines. */
  readonly engine?: EngineTraits
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Time within which a request header must be complete, in milliseconds. */
  readonly headerTimeoutMs: number
  /** Time for which a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number
}

/** Published configuration; a higher version replaces a lower one as a whole. */
export interface GatewayConfig {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly GatewayService[]
  readonly limits: CallerLimits
  /** Client accounts; when absent, requests need no key. */
  readonly accounts?: readonly ClientAccount[]
}

/**
 * @param route - Route of a request.
 * @returns Whether a request that may have run can run again.
 */
export function isIdempotent (route: GatewayRoute): boolean {
  return route.kind === RouteKind.Safe || (route.kind === RouteKind.Streaming && route.resumable)
}

/**
 * @param route - Route of a stream.
 * @returns Time after which a caller that receives no event disconnects, in milliseconds.
 */
export function callerTimeoutMs ({ targetLatencyMs, gapTargetMs }: Pick<GatewayRoute, 'targetLatencyMs' | 'gapTargetMs'>): number {
  return Math.max(CALLER_TIMEOUT_MIN_MS, CALLER_TIMEOUT_TARGET_FACTOR * targetLatencyMs, CALLER_TIMEOUT_GAP_FACTOR * (gapTargetMs ?? 0))
}
