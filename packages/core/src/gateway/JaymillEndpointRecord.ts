/** Work that an engine does. */
export enum EngineStage {
  Prefill = 'prefill',
  Decode = 'decode'
}

/** What is published of one endpoint. */
export interface EndpointRecord {
  /** Names one endpoint, possibly over several starts. */
  readonly id: string
  readonly service: string
  /** IP number and port. */
  readonly address: string
  readonly zone: string
  /** Requests that it runs at once. */
  readonly slots: number
  /** Whether it has announced that it stops. */
  readonly leaving: boolean
  /** Present when the endpoint is an engine of a split pool. */
  readonly stage?: EngineStage
  /** Start of its process, in milliseconds since the Unix epoch; tells starts under one id apart. */
  readonly bornMs?: number
  /** Further time for which it is slow after its start, in milliseconds. */
  readonly warmupMs: number
}

/** One change of what is published about endpoints. */
export interface EndpointChange {
  readonly id: string
  /** Absent when the record was removed or can't be read. */
  readonly record?: EndpointRecord
}
