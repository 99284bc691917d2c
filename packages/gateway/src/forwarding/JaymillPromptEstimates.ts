import { DelayEstimate, OutputLengthModel } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { DIRECT_PREFILL_FACTOR, FIRST_EVENT_INITIAL_MS, LONG_OUTPUT_FACTOR, OUTPUT_LENGTH_WEIGHT, PREFILL_INITIAL_TOKEN_MS } from './constants.js'
import type { ForwardingContext } from './JaymillForwardingContext.js'
import { directPrefillGroup, prefillGroup } from './JaymillLatencyGroups.js'
import { promptTokensOf } from './JaymillPromptSize.js'

/** How the first event of a response came about. */
export interface FirstEvent {
  readonly engineId: string
  /** Time from the call of the decode engine to its response, in milliseconds; without the time for which it was silent. */
  readonly ms: number
  /** Whether the decode engine has prefilled the prompt itself. */
  readonly direct: boolean
  /** Prompt tokens that the engine already had to prefill at the time of the call. */
  readonly queuedTokens: number
}

/** Estimates what a generation request will take, from the requests that this host has forwarded before. */
export class PromptEstimates {
  private readonly _context: ForwardingContext
  /** Time from the end of a prefill to the first event, for each service. */
  private readonly _firstEventDelays = new Map<string, DelayEstimate>()
  private readonly _outputLengthModels = new Map<string, OutputLengthModel>()
  /** Moving average of estimated output lengths, in tokens. */
  private _meanOutputTokens = 0

  /**
   * @param context - Components of the host.
   */
  constructor (context: ForwardingContext) {
    this._context = context
  }

  /**
   * Replaces the caller's estimate of the output length by that of the model.
   *
   * @param request - Request as the caller has sent it.
   * @returns The request with the better estimate.
   */
  withExpectedOutput (request: GatewayRequest): GatewayRequest {
    const { prompt } = request.metadata
    if (prompt === undefined) return request
    const expectedOutputTokens = this._outputLengthModel(request).expectedTokens(prompt.expectedOutputTokens)
    return { ...request, metadata: { ...request.metadata, prompt: { ...prompt, expectedOutputTokens } } }
  }

  /**
   * @param request - A request.
   * @returns The longest usual time of its decode, in milliseconds.
   */
  decodeMs ({ metadata, service }: GatewayRequest): number {
    const expectedOutputTokens = metadata.prompt?.expectedOutputTokens ?? 0
    return this._context.demand.holdingTimeMs(service.name) * LONG_OUTPUT_FACTOR * expectedOutputTokens / Math.max(1, this._meanOutputTokens)
  }

  /**
   * @param request - A request.
   * @returns Time from the end of its prefill to its first event, in milliseconds.
   */
  firstEventMs ({ service }: GatewayRequest): number {
    return this._firstEventDelay(service.name).upperMs(this._context.clock.nowMs())
  }

  /**
   * @param request - A request.
   * @param engineId - A decode engine.
   * @returns Expected time of its prefill at that engine, in milliseconds.
   */
  directPrefillMs (request: GatewayRequest, engineId: string): number {
    const { latencyModel, directPrefills, clock } = this._context
    const service = request.service.name
    const nowMs = clock.nowMs()
    const tokens = promptTokensOf(request)
    const prefillMs = latencyModel.expectedMs({ group: prefillGroup(service), endpointId: '' }, tokens, PREFILL_INITIAL_TOKEN_MS, nowMs)
    const initialTokenMs = DIRECT_PREFILL_FACTOR * prefillMs / Math.max(1, tokens)
    return latencyModel.expectedMs({ group: directPrefillGroup(service), endpointId: engineId }, directPrefills.at(engineId).tokens + tokens, initialTokenMs, nowMs)
  }

  /**
   * Learns how long the first event takes after a prefill elsewhere, or how long a prefill at a decode engine takes.
   *
   * @param request - The request.
   * @param event - How its first event came about.
   */
  recordFirstEvent (request: GatewayRequest, { engineId, ms, direct, queuedTokens }: FirstEvent): void {
    const { latencyModel, clock } = this._context
    const group = directPrefillGroup(request.service.name)
    if (direct) latencyModel.addMeasurement({ group, endpointId: engineId }, queuedTokens + promptTokensOf(request), ms, clock.nowMs())
    else this._firstEventDelay(request.service.name).add(ms, clock.nowMs())
  }

  /**
   * Learns from a complete response.
   *
   * @param request - The request.
   * @param hintTokens - Caller's estimate of the output length, in tokens.
   * @param bytes - Size of the response, in bytes.
   * @param ms - Time of the decode, in milliseconds.
   */
  recordCompleted (request: GatewayRequest, hintTokens: number, bytes: number, ms: number): void {
    const expectedOutputTokens = request.metadata.prompt?.expectedOutputTokens ?? 0
    this._context.demand.recordHoldingTime(request.service.name, ms)
    this._meanOutputTokens += (expectedOutputTokens - this._meanOutputTokens) * (this._meanOutputTokens === 0 ? 1 : OUTPUT_LENGTH_WEIGHT)
    if (request.metadata.lastEventId === undefined) this._outputLengthModel(request).add(hintTokens, bytes)
  }

  private _outputLengthModel ({ service }: GatewayRequest): OutputLengthModel {
    const model = this._outputLengthModels.get(service.name) ?? new OutputLengthModel()
    this._outputLengthModels.set(service.name, model)
    return model
  }

  private _firstEventDelay (service: string): DelayEstimate {
    const delay = this._firstEventDelays.get(service) ?? new DelayEstimate(FIRST_EVENT_INITIAL_MS)
    this._firstEventDelays.set(service, delay)
    return delay
  }
}
