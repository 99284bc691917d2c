import type { IncomingHttpHeaders } from 'node:http'
import type { EngineRole, ReportedLoad } from '@jaymill/core'

/** Size of a generation request, as declared by its caller. */
export interface PromptMetadata {
  readonly promptTokens: number
  /** Maximum number of output tokens. */
  readonly maxOutputTokens: number
  /** Caller's estimate of the output tokens, which may be far off; equal to the maximum when the caller gives none. */
  readonly expectedOutputTokens: number
  /** Ids of the parts of the prompt that other requests may share, in their order; without the last part, which is the request's own. */
  readonly sharedParts: readonly string[]
}

/** Metadata from the headers of a caller's request. */
export interface RequestMetadata {
  readonly requestId?: string
  /** Time for which the caller waits for the response, in milliseconds. */
  readonly deadlineMs?: number
  /** Id of the last event that the caller has received, when it resumes a stream. */
  readonly lastEventId?: string
  /** Key by which the caller shows its account. It must not be logged, forwarded or reported. */
  readonly accountKey?: string
  /** Present for generation requests. */
  readonly prompt?: PromptMetadata
}

/** Location of the KV cache of a prompt. */
export interface KvSource {
  /** Address of the engine that holds it. */
  readonly address: string
  readonly handle: string
}

/** Metadata of one call, sent to the endpoint in headers. */
export interface CallMetadata {
  /** Remaining time of the request, in milliseconds. */
  readonly deadlineMs: number
  /** Id of the intended endpoint; any other endpoint at the address refuses the call. Absent when another host chooses it. */
  readonly endpointId?: string
  /** Set when the call only prefills the prompt. */
  readonly role?: EngineRole.Prefill
  readonly kvSource?: KvSource
  /** Reservation that the call uses. */
  readonly reservationId?: string
  /** Id of the event after which the stream continues. */
  readonly lastEventId?: string
  /** Name of the caller's account. */
  readonly account?: string
  /** Place of the request among the ranks of the endpoint's service; 0 is the most urgent. */
  readonly priority?: number
}

/** Metadata from the head of an endpoint's response. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to. */
  readonly requestId?: string
  /** Whether the response carries the endpoint's signature. */
  readonly signed: boolean
  /** Whether the endpoint reports that it did not run the request. */
  readonly notRun: boolean
  /** Whether another endpoint now has the address. */
  readonly misdirected: boolean
  /** Whether the body has a content coding that was not requested. */
  readonly encoded: boolean
  readonly load?: ReportedLoad
  /** Requests per second that the endpoint accepts from all hosts together; absent without a limit. */
  readonly limitPerS?: number
  /** Whether the endpoint is about to shut down and wants no further requests. */
  readonly leaving: boolean
  /** Time for which the endpoint, which has turned a request away, wants nothing from this host, in milliseconds. */
  readonly backoffMs?: number
}

/** Header names and formats that callers and endpoints use. */
export abstract class WireDialect {
  /**
   * Parses the headers of a caller's request.
   *
   * @param headers - Headers of the request.
   * @returns The metadata, without values that are invalid.
   */
  abstract requestMetadata (headers: IncomingHttpHeaders): RequestMetadata

  /**
   * Parses the head of an endpoint's response.
   *
   * @param status - Status of the response.
   * @param headers - Headers of the response.
   * @returns The metadata.
   */
  abstract responseMetadata (status: number, headers: IncomingHttpHeaders): ResponseMetadata

  /**
   * Checks whether a header is reserved for the router.
   *
   * @param name - Header name in lower case.
   * @returns Whether only the router may set it, so that a caller's value is dropped.
   */
  abstract isReserved (name: string): boolean

  /**
   * Checks whether a header shows or names a caller's account.
   *
   * @param name - Header name in lower case.
   * @returns Whether a caller's value is dropped as soon as the configuration has accounts.
   */
  abstract isAccountHeader (name: string): boolean

  /**
   * Formats the headers of a call to an endpoint.
   *
   * @param metadata - Metadata of the call.
   * @returns Alternating header names and values.
   */
  abstract callHeaders (metadata: CallMetadata): readonly string[]
}
