import { LatencyMeasure, LatencySummary, QuarantineSummary } from '@jaymill/core'
import { z } from 'zod'
import { MAX_HEALTH_SUMMARY_CHARS } from './constants.js'

const MAX_ID_CHARS = 256

const id = z.string().min(1).max(MAX_ID_CHARS)
const age = z.number().nonnegative()

const latencySchema = z.object({
  hostId: id,
  seq: z.number().int().nonnegative(),
  entries: z.array(z.object({
    endpointId: id,
    measure: z.enum(LatencyMeasure),
    pace: z.number(),
    samples: z.number().int().positive()
  }))
})

const quarantineSchema = z.object({
  suspects: z.array(z.object({
    fingerprint: id,
    deaths: z.array(z.object({ endpointId: id, ageMs: age, alone: z.boolean() })),
    clearedAgeMs: age.exactOptional(),
    runsOn: id.exactOptional()
  }))
})

const messageSchema = z.object({ pace: latencySchema, quarantine: quarantineSchema })

/** Health information that hosts share in heartbeats. */
export interface HealthMessage {
  /** Endpoint latencies relative to their expected latencies. */
  readonly pace: LatencySummary
  readonly quarantine: QuarantineSummary
}

/**
 * Encodes a message; drops the least important entries until it fits.
 *
 * @param message - Message to encode.
 * @returns JSON of at most `MAX_HEALTH_SUMMARY_CHARS` characters.
 */
export function encodeHealth (message: HealthMessage): string {
  const text = JSON.stringify(message)
  if (text.length <= MAX_HEALTH_SUMMARY_CHARS) return text
  const { pace, quarantine: { suspects } } = message
  const shorter = pace.entries.length > suspects.length
    ? { ...message, pace: { ...pace, entries: pace.entries.slice(0, -1) } }
    : { ...message, quarantine: { suspects: suspects.slice(0, -1) } }
  return encodeHealth(shorter)
}

/**
 * Decodes a message of a peer.
 *
 * @param text - Health field of its heartbeat.
 * @returns The message, or `undefined` when the field is empty or malformed.
 */
export function decodeHealth (text: string): HealthMessage | undefined {
  if (text === '' || text.length > MAX_HEALTH_SUMMARY_CHARS) return undefined
  try {
    return messageSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
