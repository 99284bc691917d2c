import type { ByteBudgetLimits } from './JaymillByteBudget.js'

/** Limits that the operating system or its supervisor sets for the process of a host. */
export interface ProcessLimits {
  /** Memory, in bytes; absent without a limit. */
  readonly memoryBytes?: number | undefined
  /** File descriptors that sockets may use; absent without a limit. */
  readonly sockets?: number | undefined
}

/** What a host takes from its callers and from other hosts. */
export interface HostCapacity {
  /** Absent without a limit. */
  readonly bytes?: ByteBudgetLimits
  readonly callerConnections: number
  readonly peerConnections: number
  /** Requests in progress, whose calls to endpoints need connections too. */
  readonly requests: number
}

/** Memory of a process that serves nothing, with the heap that it uses while it serves many small requests, in bytes. */
const PROCESS_BYTES = 92_000_000

/** Share of the remaining memory that requests may hold; the rest is for buffers that have been read and not yet been freed. */
const HELD_SHARE = 0.5

/** Smallest budget, in bytes. */
const MIN_HELD_BYTES = 8_000_000

/** Bytes that the system may receive for a connection that is not read. */
const RECEIVE_BYTES = 262_144

/** Time for which a body waits to be read before larger ones make room, in milliseconds. */
const MAX_WAIT_MS = 1_000

/** Shares of the sockets. The rest is for the host itself: listeners, configuration source, documents, heartbeats. */
const CALLER_SHARE = 0.4
const PEER_SHARE = 0.15
const REQUEST_SHARE = 0.35

/**
 * Divides the limits of a process.
 *
 * @param limits - Limits of the process.
 * @param maxBodyBytes - Maximum size of the body of one request, in bytes; one always has room.
 * @returns What the host takes.
 */
export function hostCapacity ({ memoryBytes, sockets = Number.POSITIVE_INFINITY }: ProcessLimits, maxBodyBytes: number): HostCapacity {
  const connections = {
    callerConnections: Math.floor(sockets * CALLER_SHARE),
    peerConnections: Math.floor(sockets * PEER_SHARE),
    requests: Math.floor(sockets * REQUEST_SHARE)
  }
  if (memoryBytes === undefined) return connections
  const maxBytes = Math.max(MIN_HELD_BYTES, (memoryBytes - PROCESS_BYTES) * HELD_SHARE, maxBodyBytes * 2)
  return { ...connections, bytes: { maxBytes, receiveBytes: RECEIVE_BYTES, maxWaitMs: MAX_WAIT_MS } }
}
