import type { ByteBudgetLimits } from './JaymillByteBudget.js'

/** Limits that the operating system or its supervisor sets for the process of a host. */
export interface ProcessLimits {
  /** Memory, in bytes; absent without a limit. */
  readonly memoryBytes?: number | undefined
  /** Limit of the JavaScript heap, in bytes; absent without a limit. */
  readonly heapBytes?: number | undefined
  /** File descriptors that sockets may use; absent without a limit. */
  readonly sockets?: number | undefined
}

/** Limits of what requests and responses hold. */
export interface MemoryCapacity extends ByteBudgetLimits {
  /** Bytes that one byte of an object in the JavaScript heap counts as: the heap may be smaller than the rest of the memory. */
  readonly objectWeight: number
}

/** What a host takes from its callers and from other hosts. */
export interface HostCapacity {
  /** Absent without a limit. */
  readonly bytes?: MemoryCapacity
  readonly callerConnections: number
  readonly peerConnections: number
  /** Requests in progress, whose calls to endpoints need connections too. */
  readonly requests: number
}

/** Connections that the listeners of a host accept which are not for requests to forward. */
export interface InternalConnections {
  readonly readiness: number
  readonly documents: number
  readonly metrics: number
}

/** Memory of a process that serves nothing, with the heap that it uses while it serves many small requests, in bytes. */
const PROCESS_BYTES = 92_000_000

/** Heap of such a process, in bytes. */
const PROCESS_HEAP_BYTES = 36_000_000

/** Share of the remaining memory, and of the remaining heap, that requests may hold; the rest is for buffers that have been read and not yet been freed. */
const HELD_SHARE = 0.5

/** Smallest budgets, in bytes. */
const MIN_HELD_BYTES = 8_000_000
const MIN_OBJECT_BYTES = 4_000_000

/** Bytes that the system may receive for a connection that is not read. */
const RECEIVE_BYTES = 262_144

/** Time for which a body waits to be read before larger ones make room, in milliseconds. */
const MAX_WAIT_MS = 1_000

/** Shares of the sockets. The rest is for the host itself: listeners, configuration source, calls to other hosts, heartbeats. */
const CALLER_SHARE = 0.4
const PEER_SHARE = 0.15
const REQUEST_SHARE = 0.35
const READINESS_SHARE = 0.02
const DOCUMENTS_SHARE = 0.04
const METRICS_SHARE = 0.01

/** Smallest number of connections of a listener that is not for requests to forward. */
const MIN_INTERNAL_CONNECTIONS = 4

/**
 * Divides the limits of a process.
 *
 * @param limits - Limits of the process.
 * @param maxBodyBytes - Maximum size of the body of one request, in bytes; one always has room.
 * @returns What the host takes.
 */
export function hostCapacity ({ memoryBytes, heapBytes = Number.POSITIVE_INFINITY, sockets = Number.POSITIVE_INFINITY }: ProcessLimits, maxBodyBytes: number): HostCapacity {
  const connections = {
    callerConnections: Math.floor(sockets * CALLER_SHARE),
    peerConnections: Math.floor(sockets * PEER_SHARE),
    requests: Math.floor(sockets * REQUEST_SHARE)
  }
  if (memoryBytes === undefined) return connections
  const maxBytes = Math.max(MIN_HELD_BYTES, (memoryBytes - PROCESS_BYTES) * HELD_SHARE, maxBodyBytes * 2)
  const objectBytes = Math.max(MIN_OBJECT_BYTES, (heapBytes - PROCESS_HEAP_BYTES) * HELD_SHARE)
  return { ...connections, bytes: { maxBytes, objectWeight: Math.max(1, maxBytes / objectBytes), receiveBytes: RECEIVE_BYTES, maxWaitMs: MAX_WAIT_MS } }
}

/**
 * Divides what the requests to forward leave.
 *
 * @param limits - Limits of the process.
 * @returns What the other listeners accept.
 */
export function internalConnections ({ sockets = Number.POSITIVE_INFINITY }: ProcessLimits): InternalConnections {
  const share = (part: number): number => Math.max(MIN_INTERNAL_CONNECTIONS, Math.floor(sockets * part))
  return { readiness: share(READINESS_SHARE), documents: share(DOCUMENTS_SHARE), metrics: share(METRICS_SHARE) }
}
