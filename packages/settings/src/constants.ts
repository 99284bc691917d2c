/** Maximum size of a document, in bytes; configuration sources accept no larger published value. */
export const MAX_VALUE_BYTES = 1_000_000
/** Maximum nesting depth of a document. */
export const MAX_DEPTH = 32
/** Maximum length of an identifier, in characters. */
export const MAX_ID_CHARS = 128
/** Maximum edit distance at which a known key is suggested for an unknown one, in characters. */
export const MAX_SUGGESTION_DISTANCE = 4

/** Defaults of the host settings; units are in the names. */
export const HOST_DEFAULTS = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  callerStallMs: 10_000,
  queueRequests: 512,
  queueBytes: 67_108_864,
  clockSkewMs: 250,
  keyRecordMs: 900_000,
  keyRecords: 100_000,
  drainDeadlineMs: 120_000,
  logLevel: 'info',
  rereadMs: 1_000,
  waitMs: 30_000,
  requestTimeoutMs: 5_000,
  maxBackoffMs: 10_000,
  hostReadsPerSecond: 4,
  fleetReadsPerSecond: 200
} as const
