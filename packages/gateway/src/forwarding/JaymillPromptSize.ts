import { SharedOutputOccupancy } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'

const OCCUPANCY = new SharedOutputOccupancy()

type SizedRequest = Pick<GatewayRequest, 'metadata'>

/**
 * @param request - A generation request.
 * @returns The number of tokens in its prompt.
 */
export function promptTokensOf ({ metadata }: SizedRequest): number {
  return metadata.prompt?.promptTokens ?? 0
}

/**
 * @param request - A generation request.
 * @returns The KV cache that hosts count for it at its engine, in tokens.
 */
export function kvTokensOf (request: SizedRequest): number {
  return OCCUPANCY.occupiedTokens({ promptTokens: promptTokensOf(request), outputTokens: outputTokensOf(request) })
}

/**
 * @param request - A generation request.
 * @param isLoadLate - Whether the work of other hosts is known late.
 * @returns The KV cache to reserve for it, in tokens.
 */
export function reservedTokensOf (request: SizedRequest, isLoadLate: boolean): number {
  return OCCUPANCY.reservedTokens({ promptTokens: promptTokensOf(request), outputTokens: outputTokensOf(request) }, isLoadLate)
}

function outputTokensOf ({ metadata: { prompt } }: SizedRequest): number {
  return prompt === undefined ? 0 : Math.min(prompt.maxOutputTokens, prompt.expectedOutputTokens)
}
