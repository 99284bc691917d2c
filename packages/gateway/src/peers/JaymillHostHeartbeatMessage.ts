import * as z from 'zod'

const text = z.string().max(128)
const count = z.number()

/** Schema of the heartbeat; short names keep it within one datagram. */
export const hostHeartbeatSchema = z.object({
  /** IP address of the sender. */
  from: text,
  /** Availability zone of the sender. */
  zone: text,
  /** Whether the sender follows the configuration source and its last request succeeded. */
  connected: z.boolean(),
  /** Start of the sender's process, in milliseconds since the Unix epoch. */
  born: count,
  /** Increases with each heartbeat of one process. */
  seq: count,
  /** Version of the active configuration of the sender. */
  config: count,
  /** Revision of the endpoints on the sender. */
  revision: count,
  /** Running work of the sender: endpoint id, requests, tokens. */
  load: z.array(z.tuple([text, count, count])),
  /** Prefills on decode engines for callers of the sender: endpoint id, requests, tokens. */
  reading: z.array(z.tuple([text, count, count])),
  /** Demand of callers of the sender: service, prompt tokens per millisecond, KV tokens per millisecond, KV tokens of queued requests. */
  demand: z.array(z.tuple([text, count, count, count])),
  /** Engines that the sender has ordered to change their role. */
  changing: z.array(text),
  /** Highest fencing token that the sender has observed. */
  fence: count,
  /** IP addresses of a sample of the live peers of the sender; of all of them in a reply. */
  hosts: z.array(text),
  /** Whether the receiver has to reply at once. */
  ask: z.boolean(),
  /** Whether the sender is shutting down. */
  leaving: z.boolean()
})

/** Heartbeat that hosts send each other in a UDP datagram. */
export type HostHeartbeatMessage = z.output<typeof hostHeartbeatSchema>

/**
 * Parses a heartbeat.
 *
 * @param bytes - Payload of a datagram.
 * @returns The heartbeat, or `undefined` when the payload is malformed.
 */
export function parseHostHeartbeat (bytes: Buffer): HostHeartbeatMessage | undefined {
  try {
    return hostHeartbeatSchema.safeParse(JSON.parse(bytes.toString('utf8'))).data
  } catch {
    return undefined
  }
}
