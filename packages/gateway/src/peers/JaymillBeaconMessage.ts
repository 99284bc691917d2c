import * as z from 'zod'

const text = z.string().max(128)
const count = z.number()

/** Schema of a beacon; short names keep it in one datagram. */
export const beaconSchema = z.object({
  /** IP number of the sender. */
  from: text,
  /** Availability zone of the sender. */
  zone: text,
  /** Whether the sender follows the source of configuration and endpoints, and is answered. */
  connected: z.boolean(),
  /** Start of the sender's process, in milliseconds since the Unix epoch. */
  born: count,
  /** Rises with each beacon of one start. */
  seq: count,
  /** Version of the configuration in force there. */
  config: count,
  /** Revision of the endpoints known there. */
  revision: count,
  /** Own work: endpoint id, requests, tokens. */
  load: z.array(z.tuple([text, count, count])),
  /** Prompts that decode engines read for own callers: endpoint id, requests, tokens. */
  reading: z.array(z.tuple([text, count, count])),
  /** Demand of own callers: service, prompt tokens a millisecond, KV tokens a millisecond, KV tokens waited for. */
  demand: z.array(z.tuple([text, count, count, count])),
  /** Engines that the sender has ordered to change their stage. */
  changing: z.array(text),
  /** Highest fencing token of orders that the sender knows. */
  fence: count,
  /** IP numbers of some hosts that the sender has heard lately; of all when it was asked. */
  hosts: z.array(text),
  /** Whether an answer is wanted at once. */
  ask: z.boolean(),
  /** Whether the sender is about to stop. */
  leaving: z.boolean()
})

/** What hosts tell each other by datagram. */
export type Beacon = z.output<typeof beaconSchema>

/**
 * @param bytes - A datagram.
 * @returns The message, or `undefined` when it is none.
 */
export function parseBeacon (bytes: Buffer): Beacon | undefined {
  try {
    return beaconSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data
  } catch {
    return undefined
  }
}
