/** Keys of a request by which crashes of different endpoints are compared. */
export interface RunKeys {
  /** Fingerprint of the whole request. */
  readonly request: string
  /** Shared parts of the prompt in order, without the last part, which belongs to the request or its session. */
  readonly parts: readonly string[]
}
