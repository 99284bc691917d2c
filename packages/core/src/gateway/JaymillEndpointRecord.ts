/** Role of an engine in a pool with separate prefill and decode. */
export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode'
}

/** Published record of one endpoint. */
export interface EndpointRecord {
  /** Identifies one endpoint; it may stay the same across restarts. */
  readonly id: string
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly zone: string
  /** Maximum number of concurrent requests. */
  readonly slots: number
  /** Whether it has announced its shutdown. */
  readonly leaving: boolean
  /** Role of the engine; present when the endpoint is an engine of a split pool. */
  readonly stage?: EngineRole
  /** Start time of its process, in milliseconds since the Unix epoch; distinguishes restarts under the same id. */
  readonly bornMs?: number
  /** Increases with each report of the process; tells which of two records of it is newer. */
  readonly sequence?: number
  /** Remaining warm-up time after its start, during which it is slow, in milliseconds. */
  readonly warmupMs: number
}

/** One change to the published endpoint records. */
export interface EndpointChange {
  readonly id: string
  /** Absent when the record was removed or is invalid. */
  readonly record?: EndpointRecord
}
