import { PaceDigest, PaceMeasure, QuarantineDigest } from '@jaymill/core'
import { z } from 'zod'
import { MAX_DIGEST_CHARS } from './constants.js'

const MAX_ID_CHARS = 256

const id = z.string().min(1).max(MAX_ID_CHARS)
const age = z.number().nonnegative()

const paceSchema = z.object({
  hostId: id,
  seq: z.number().int().nonnegative(),
  entries: z.array(z.object({
    endpointId: id,
    measure: z.enum(PaceMeasure),
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

const messageSchema = z.object({ pace: paceSchema, quarantine: quarantineSchema })

/** What hosts share about health in a heartbeat. */
export interface HealthMessage {
  readonly pace: PaceDigest
  readonly quarantine: QuarantineDigest
}

/**
 * Encodes a message; entries that would make it too long are left out, the least important first.
 *
 * @param message - What to share.
 * @returns JSON of at most `MAX_DIGEST_CHARS` characters.
 */
export function encodeHealth (message: HealthMessage): string {
  const text = JSON.stringify(message)
  if (text.length <= MAX_DIGEST_CHARS) return text
  const { pace, quarantine: { suspects } } = message
  const shorter = pace.entries.length > suspects.length
    ? { ...message, pace: { ...pace, entries: pace.entries.slice(0, -1) } }
    : { ...message, quarantine: { suspects: suspects.slice(0, -1) } }
  return encodeHealth(shorter)
}

/**
 * Decodes a message of a peer.
 *
 * @param text - Field of its heartbeat.
 * @returns The message, or `undefined` when there is none or it has another form.
 */
export function decodeHealth (text: string): HealthMessage | undefined {
  if (text === '' || text.length > MAX_DIGEST_CHARS) return undefined
  try {
    return messageSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
