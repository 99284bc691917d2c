import { CALLER_PATIENCE_GAPS, CALLER_PATIENCE_MIN_MS, CALLER_PATIENCE_TARGETS } from './constants.js'

/** What may be done with a request more than once. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  Safe = 'safe',
  /** Runs at most once for each request id. */
  Unsafe = 'unsafe',
  /** Answers with server-sent events; runs at most once unless the route is resumable. */
  Streaming = 'streaming'
}

/** Share of a route's requests that goes to one service. */
export interface RouteTarget {
  readonly service: string
  /** Relative to the other targets of the route; greater than 0. */
  readonly weight: number
}

/** Rule that sends requests of a host name and path prefix to a service. */
export interface GatewayRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Longest time a request is kept waiting for its answer, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is on time, in milliseconds. */
  readonly targetLatencyMs: number
  /** Longest pause between two events of an answer that is on time, in milliseconds. */
  readonly gapTargetMs?: number
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Endpoints that may run one request. */
  readonly maxAttempts: number
  /** Whether a stream may be continued by another endpoint after its last event. */
  readonly resumable: boolean
}

/** What engines of a service can do. */
export interface EngineTraits {
  readonly slots: number
  /** KV cache of one engine, in tokens. */
  readonly kvTokens: number
  /** Time for which an engine keeps a prefill result that nobody fetches, in milliseconds. */
  readonly handleTtlMs: number
  /** Longest reservation that an engine grants, in milliseconds. */
  readonly reservationMaxMs: number
  /** Time that a change of an engine's stage takes after its running work has ended, in milliseconds. */
  readonly stageChangeMs: number
}

/** A group of interchangeable endpoints. */
export interface GatewayService {
  readonly name: string
  readonly healthPath: string
  /** Connections that one endpoint accepts from all hosts together. */
  readonly maxConnections: number
  /** Present when the endpoints are language-model engines. */
  readonly engine?: EngineTraits
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Time for a complete request header, in milliseconds. */
  readonly headerTimeoutMs: number
  /** Time for which a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number
}

/** One published configuration; a higher version replaces a lower one as a whole. */
export interface GatewayConfig {
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: readonly GatewayService[]
  readonly limits: CallerLimits
}

/**
 * @param route - Route of a request.
 * @returns Whether a request may run again after it may have run.
 */
export function isIdempotent (route: GatewayRoute): boolean {
  return route.kind === RouteKind.Safe || (route.kind === RouteKind.Streaming && route.resumable)
}

/**
 * @param route - Route of a stream.
 * @returns Time after which a caller that gets no event gives up, in milliseconds.
 */
export function callerPatienceMs ({ targetLatencyMs, gapTargetMs }: Pick<GatewayRoute, 'targetLatencyMs' | 'gapTargetMs'>): number {
  return Math.max(CALLER_PATIENCE_MIN_MS, CALLER_PATIENCE_TARGETS * targetLatencyMs, CALLER_PATIENCE_GAPS * (gapTargetMs ?? 0))
}
