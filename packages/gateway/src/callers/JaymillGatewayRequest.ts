import type { IncomingMessage, ServerResponse } from 'node:http'
import type { GatewayRoute, GatewayService } from '@jaymill/core'
import type { RequestFacts } from '../ports/JaymillWireDialect.js'

/** Why a request ended before its answer. */
export enum RequestEnd {
  CallerGone = 'caller-gone',
  Timeout = 'timeout'
}

/** A caller's request that has been read and has a route. */
export interface GatewayRequest {
  readonly id: string
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly facts: RequestFacts
  /** Version of the configuration that it is handled under. */
  readonly version: number
  readonly body: Buffer | null
  /** Monotonic time at which its header was read, in milliseconds. */
  readonly arrivedMs: number
  /** Monotonic time after which it gets no answer of an endpoint, in milliseconds. */
  readonly deadlineMs: number
  /** Aborts with a `RequestEnd` when the caller is gone or the time is over. */
  readonly signal: AbortSignal
}
