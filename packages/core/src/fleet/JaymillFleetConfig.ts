/** Role of the endpoints of a pool. */
export enum PoolRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Both = 'both',
  Service = 'service'
}

/** Protocol of an endpoint. */
export enum AdapterKind {
  /** OpenAI-style engine with `kv_transfer_params`. */
  Engine = 'engine',
  /** Plain HTTP service. */
  Http = 'http'
}

/** Class of a route, in order of priority, highest first. */
export enum RouteClass {
  Booking = 'booking',
  Lookup = 'lookup',
  Verdict = 'verdict',
  Summary = 'summary'
}

/** Whether an endpoint accepts new work. */
export enum EndpointState {
  Active = 'active',
  Leaving = 'leaving'
}

/** Engine or plain service that processes requests. */
export interface EndpointConfig {
  readonly id: string
  /** Base URL with an IP address. */
  readonly url: string
  readonly zone: string
  readonly state: EndpointState
  /** Maximum number of concurrent requests. */
  readonly slots: number
  /** KV cache capacity, in pieces; 0 for plain services. */
  readonly kvPieces: number
  /** Whether the endpoint rejects orders with a stale fencing token. */
  readonly checksFencing: boolean
}

/** Endpoints of one role. */
export interface PoolConfig {
  readonly id: string
  readonly role: PoolRole
  readonly adapter: AdapterKind
  /** Bandwidth of the shared KV link into the pool, in bytes per second; 0 when there is none. */
  readonly linkBytesPerSecond: number
  readonly endpoints: readonly EndpointConfig[]
}

/** One model and the pools that serve it. */
export interface ModelConfig {
  readonly id: string
  readonly prefillPool: string
  readonly decodePool: string
  readonly version: string
  /** LoRA adapters to load. */
  readonly adapters: readonly string[]
  /** Tokens that one piece of KV cache holds. */
  readonly tokensPerPiece: number
  /** KV cache size of one prompt token, in bytes. */
  readonly kvBytesPerToken: number
  /** Id of the route that defines class, targets and deadline of the requests. */
  readonly route: string
}

/** Latency targets and rules for one kind of request. */
export interface RouteConfig {
  readonly id: string
  readonly class: RouteClass
  /** Whether a request may safely run more than once. */
  readonly idempotent: boolean
  /** Target time to the first token or byte, in milliseconds. */
  readonly ttftMs: number
  /** Target time between tokens, in milliseconds. */
  readonly interTokenMs: number
  /** Time after which the caller no longer needs the response, in milliseconds. */
  readonly deadlineMs: number
  /** Whether requests may be hedged to reduce tail latency. */
  readonly hedging: boolean
}

/** Path of a plain service and its route. */
export interface ServicePath {
  readonly method: string
  /** Path prefix. */
  readonly path: string
  readonly route: string
}

/** Plain HTTP service. */
export interface ServiceConfig {
  readonly id: string
  readonly pool: string
  readonly paths: readonly ServicePath[]
}

/** Account of a caller. */
export interface AccountConfig {
  readonly id: string
  /** SHA-256 of the account's API key, in hexadecimal. */
  readonly keySha256: string
  /** Share of the capacity relative to other accounts. */
  readonly weight: number
  /** Request rate limit across all hosts. */
  readonly requestsPerSecond: number
  /** Rate limit for prompt and output tokens across all hosts. */
  readonly tokensPerSecond: number
}

/** Configuration of the fleet, published by the operator and applied as a whole. */
export interface FleetConfig {
  /** Increases with every change. */
  readonly revision: number
  readonly pools: readonly PoolConfig[]
  readonly models: readonly ModelConfig[]
  readonly services: readonly ServiceConfig[]
  readonly routes: readonly RouteConfig[]
  readonly accounts: readonly AccountConfig[]
  /** Account for requests without an API key; such requests are rejected when it is absent. */
  readonly anonymousAccount?: string | undefined
}
