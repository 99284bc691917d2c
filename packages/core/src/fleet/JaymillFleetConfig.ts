/** What an endpoint of a pool does. */
export enum PoolRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Both = 'both',
  Service = 'service'
}

/** Protocol an endpoint speaks. */
export enum AdapterKind {
  /** OpenAI-style engine with `kv_transfer_params`. */
  Engine = 'engine',
  /** Plain HTTP service. */
  Http = 'http'
}

/** Class of a route; the order is the order of priority. */
export enum RouteClass {
  Booking = 'booking',
  Lookup = 'lookup',
  Verdict = 'verdict',
  Summary = 'summary'
}

/** Whether an endpoint takes part in service. */
export enum EndpointState {
  Active = 'active',
  Leaving = 'leaving'
}

/** One back end. */
export interface EndpointConfig {
  readonly id: string
  /** Base URL with an IP number. */
  readonly url: string
  readonly zone: string
  readonly state: EndpointState
  /** Requests that run at once. */
  readonly slots: number
  /** Pieces of KV memory; 0 for plain services. */
  readonly kvPieces: number
  /** Whether the endpoint rejects orders with an old fencing token. */
  readonly checksFencing: boolean
}

/** Endpoints of one role. */
export interface PoolConfig {
  readonly id: string
  readonly role: PoolRole
  readonly adapter: AdapterKind
  /** Rate of the shared KV link into the pool, in bytes per second; 0 when there is none. */
  readonly linkBytesPerSecond: number
  readonly endpoints: readonly EndpointConfig[]
}

/** One model and the pools that serve it. */
export interface ModelConfig {
  readonly id: string
  readonly prefillPool: string
  readonly decodePool: string
  readonly version: string
  /** Adapters (LoRA) to be loaded. */
  readonly adapters: readonly string[]
  /** Tokens of KV cache held by one piece. */
  readonly tokensPerPiece: number
  /** KV bytes per prompt token. */
  readonly kvBytesPerToken: number
  /** Class, targets and deadline of the model's requests. */
  readonly route: string
}

/** Targets and rules of one kind of request. */
export interface RouteConfig {
  readonly id: string
  readonly class: RouteClass
  /** Whether a request may run twice without harm. */
  readonly idempotent: boolean
  /** Target for the first token or byte, in milliseconds. */
  readonly ttftMs: number
  /** Target between tokens, in milliseconds. */
  readonly interTokenMs: number
  /** Time after which the caller no longer wants the answer, in milliseconds. */
  readonly deadlineMs: number
  /** Whether a second copy may be sent to cut the tail. */
  readonly hedging: boolean
}

/** A path of a plain service. */
export interface ServicePath {
  readonly method: string
  /** Path prefix. */
  readonly path: string
  readonly route: string
}

/** A plain service. */
export interface ServiceConfig {
  readonly id: string
  readonly pool: string
  readonly paths: readonly ServicePath[]
}

/** One client account. */
export interface AccountConfig {
  readonly id: string
  /** SHA-256 of the account's API key, in hexadecimal. */
  readonly keySha256: string
  /** Share of capacity relative to other accounts. */
  readonly weight: number
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
}

/** Everything an operator declares about the fleet; applied as a whole. */
export interface FleetConfig {
  /** Rises with every change. */
  readonly revision: number
  readonly pools: readonly PoolConfig[]
  readonly models: readonly ModelConfig[]
  readonly services: readonly ServiceConfig[]
  readonly routes: readonly RouteConfig[]
  readonly accounts: readonly AccountConfig[]
  /** Account of requests that carry no API key; such requests are refused when it is absent. */
  readonly anonymousAccount?: string | undefined
}
