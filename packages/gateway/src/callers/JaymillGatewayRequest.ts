import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ClientAccount, GatewayRoute, GatewayService, RunKeys } from '@jaymill/core'
import type { RequestMetadata } from '../ports/JaymillWireDialect.js'
import type { UnreadResponse } from './JaymillUnreadResponse.js'

/** Why a request was aborted before its response was complete. */
export enum AbortReason {
  CallerGone = 'caller-gone',
  Timeout = 'timeout',
  /** The planned stop of this host has ended. */
  Stopped = 'stopped'
}

/** A caller's request with its body and its matching route. */
export interface GatewayRequest {
  readonly id: string
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly route: GatewayRoute
  readonly service: GatewayService
  readonly metadata: RequestMetadata
  /** Account of the caller; absent when the configuration has no accounts, and on public routes without a known key. */
  readonly account?: ClientAccount
  /** Whether the configuration that applies to the request has accounts. */
  readonly hasAccounts: boolean
  /** Rank of the request, that of its account or else of its route; 0 is the most urgent. */
  readonly priority: number
  /** Keys by which crashes of endpoints are attributed to the request or to parts of its prompt. */
  readonly keys: RunKeys
  /** Version of the configuration that applies to the request. */
  readonly version: number
  readonly body: Buffer | null
  /** Counts what the host holds of the response. */
  readonly unread: UnreadResponse
  /** Whether another host has forwarded it, because it reaches no endpoint of the service. */
  readonly fromPeer: boolean
  /** Monotonic time at which the request header was received, in milliseconds. */
  readonly arrivedMs: number
  /** Monotonic time at which the request times out, in milliseconds. */
  readonly deadlineMs: number
  /** Aborts with an `AbortReason` when the caller disconnects, the request times out or this host stops. */
  readonly signal: AbortSignal
}
