/** Size and hardware of one site. */
export interface PolicySite {
  readonly name: string
  readonly zones: readonly string[]
  readonly hosts: number
  /** Number of model runners; each runs a prefill and a decode engine. */
  readonly runners: number
  readonly zoneDelayMs: number
  readonly decodeSlots: number
  readonly kvPieces: number
  readonly tokensPerPiece: number
  readonly kvBytesPerToken: number
  readonly linkBytesPerSecond: number
  readonly prefillTokensPerMs: number
  /** Requests per second and runner at rated load. */
  readonly ratedPerRunner: number
  readonly meanPromptTokens: number
  readonly meanOutputTokens: number
}

const COMMON = {
  hosts: 7,
  decodeSlots: 20,
  kvPieces: 2_000,
  tokensPerPiece: 32,
  kvBytesPerToken: 100_000,
  linkBytesPerSecond: 12.5e9,
  prefillTokensPerMs: 20
}

/** Simulated sites: the two sites that exist today. */
export const SITES: readonly PolicySite[] = [
  {
    ...COMMON,
    name: 'kerbrat',
    zones: ['brest', 'rennes', 'lorient'],
    runners: 6,
    zoneDelayMs: 0.5,
    ratedPerRunner: 4.2,
    meanPromptTokens: 2_500,
    meanOutputTokens: 150
  },
  {
    ...COMMON,
    name: 'derwent',
    zones: ['hobart', 'kingston', 'glenorchy', 'sorell'],
    runners: 8,
    zoneDelayMs: 1,
    ratedPerRunner: 4,
    meanPromptTokens: 3_200,
    meanOutputTokens: 150
  }
]

/** Latency target for the first token, in milliseconds. */
export const TTFT_TARGET_MS = 940

/** Latency target between tokens, in milliseconds. */
export const INTER_TOKEN_TARGET_MS = 31

/** Share of admitted requests that must meet a target. */
export const TARGET_SHARE = 0.95

/** Longest time for which an engine may hold memory after the caller disconnected or its host was killed, in milliseconds. */
export const HELD_LIMIT_MS = 5_000
