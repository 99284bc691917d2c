/** Sizes of one site. */
export interface PolicySite {
  readonly name: string
  readonly zones: readonly string[]
  readonly hosts: number
  /** Model runners; each runs a prefill and a decode engine. */
  readonly runners: number
  readonly zoneDelayMs: number
  readonly decodeSlots: number
  readonly kvPieces: number
  readonly tokensPerPiece: number
  readonly kvBytesPerToken: number
  readonly linkBytesPerSecond: number
  readonly prefillTokensPerMs: number
  /** Requests a second at rated load, for each runner. */
  readonly ratedPerRunner: number
  readonly meanPromptTokens: number
  readonly meanAnswerTokens: number
}

const ENGINE = {
  hosts: 7,
  decodeSlots: 20,
  kvPieces: 2_000,
  tokensPerPiece: 32,
  kvBytesPerToken: 100_000,
  linkBytesPerSecond: 12.5e9,
  prefillTokensPerMs: 20
}

/** Both sites of today. */
export const SITES: readonly PolicySite[] = [
  {
    ...ENGINE,
    name: 'kerbrat',
    zones: ['brest', 'rennes', 'lorient'],
    runners: 6,
    zoneDelayMs: 0.5,
    ratedPerRunner: 4.2,
    meanPromptTokens: 2_500,
    meanAnswerTokens: 150
  },
  {
    ...ENGINE,
    name: 'derwent',
    zones: ['hobart', 'kingston', 'glenorchy', 'sorell'],
    runners: 8,
    zoneDelayMs: 1,
    ratedPerRunner: 4,
    meanPromptTokens: 3_200,
    meanAnswerTokens: 150
  }
]

/** Target for the first token, in milliseconds. */
export const TTFT_TARGET_MS = 940

/** Target between tokens, in milliseconds. */
export const INTER_TOKEN_TARGET_MS = 31

/** Share of admitted work that must meet a target. */
export const TARGET_SHARE = 0.95

/** Time after which no memory may be held for a caller who has gone, in milliseconds. */
export const HELD_LIMIT_MS = 5_000
