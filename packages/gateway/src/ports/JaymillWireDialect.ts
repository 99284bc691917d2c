import type { IncomingHttpHeaders } from 'node:http'
import type { EngineStage } from '@jaymill/core'

/** Size of a generation request, as its caller tells it. */
export interface PromptFacts {
  readonly promptTokens: number
  /** Most tokens of the answer. */
  readonly maxAnswerTokens: number
  /** The caller's estimate of the answer, which may be far off; the most without one. */
  readonly expectedAnswerTokens: number
}

/** What the headers of a caller's request say. */
export interface RequestFacts {
  readonly requestId?: string
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs?: number
  /** Id of the last event that the caller has received, when it resumes a stream. */
  readonly lastEventId?: string
  /** Present on generation requests. */
  readonly prompt?: PromptFacts
}

/** Where the KV cache of a prompt lies. */
export interface KvSource {
  /** Address of the engine that holds it. */
  readonly address: string
  readonly handle: string
}

/** What the system tells an endpoint about one call. */
export interface CallIntent {
  /** Time that is left, in milliseconds. */
  readonly deadlineMs: number
  /** Endpoint that is meant; another one at the address refuses the call. */
  readonly endpointId: string
  /** Set when only the prompt is to be read. */
  readonly stage?: EngineStage.Prefill
  readonly kvSource?: KvSource
  /** Reservation that the call uses. */
  readonly reservationId?: string
  /** Event after which a stream goes on. */
  readonly lastEventId?: string
}

/** Work at an endpoint, as it tells in an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Time that work takes at this moment, relative to the usual; 1 is usual. */
  readonly slowness: number
}

/** What the head of an endpoint's answer says. */
export interface AnswerFacts {
  /** Id of the request that the answer belongs to. */
  readonly requestId?: string
  /** Whether it bears the endpoint's signature. */
  readonly signed: boolean
  /** Whether the endpoint says that it did not run the request. */
  readonly notRun: boolean
  /** Whether another endpoint has the address now. */
  readonly misdirected: boolean
  /** Whether the body has a content coding that nobody asked for. */
  readonly encoded: boolean
  readonly load?: ReportedLoad
}

/** Names and formats in which callers and endpoints speak. */
export abstract class WireDialect {
  /**
   * @param headers - Headers of a caller's request.
   * @returns What they say; values that can't be read are left out.
   */
  abstract requestFacts (headers: IncomingHttpHeaders): RequestFacts

  /**
   * @param status - Status of an endpoint's answer.
   * @param headers - Its headers.
   * @returns What they say.
   */
  abstract answerFacts (status: number, headers: IncomingHttpHeaders): AnswerFacts

  /**
   * @param name - Header name in lower case.
   * @returns Whether only the system may set it, so that a caller's value is dropped.
   */
  abstract isReserved (name: string): boolean

  /**
   * @param intent - What the endpoint is to be told.
   * @returns Names and values, one after the other.
   */
  abstract callHeaders (intent: CallIntent): readonly string[]
}
