import type { RunningRequest } from '../ports/JaymillEngineClient.js'
import { ORPHAN_TIMEOUT_MS, PARTITION_SHARE, PARTITION_WAIT_MS, UNKNOWN_HOST_WAIT_MS } from './JaymillRoutingConstants.js'

/** Liveness of one host. */
export interface HostLiveness {
  readonly id: string
  /** Largest incarnation received; `null` before the first message. */
  readonly incarnation: number | null
  /** Whether the newest adopted host list contains it. */
  readonly listed: boolean
  /** Time since the last message from it, in milliseconds. */
  readonly sinceLastMessageMs: number
}

/** Decision on a running request, by the liveness of the host that it belongs to. */
export enum OrphanVerdict {
  Keep = 'keep',
  /** The host runs a newer process. */
  NewerIncarnation = 'newer-incarnation',
  /** The host is unreachable and no longer in the list. */
  Unlisted = 'unlisted',
  /** The host is unreachable, and no partition is suspected. */
  Unreachable = 'silent',
  /** The host has been unreachable for too long, even if a partition is suspected. */
  LongUnreachable = 'long-silent',
  /** No list has contained the host within the wait for late lists. */
  Unknown = 'unknown'
}

/** A running request to cancel on its endpoint. */
export interface Orphan {
  readonly request: RunningRequest
  readonly verdict: OrphanVerdict
}

/**
 * Checks whether the unreachable hosts suggest a network partition rather than the failure of one host.
 *
 * @param hosts - Liveness of every known host.
 * @returns Whether several listed hosts are unreachable and their share exceeds `PARTITION_SHARE`.
 */
export function looksPartitioned (hosts: readonly HostLiveness[]): boolean {
  const listed = hosts.filter(host => host.listed)
  const unreachable = listed.filter(host => host.sinceLastMessageMs >= ORPHAN_TIMEOUT_MS)
  return unreachable.length > 1 && unreachable.length > listed.length * PARTITION_SHARE
}

/**
 * Decides on one running request by the liveness of its host.
 *
 * @param request - Running request in the endpoint's own list.
 * @param host - Liveness of the host that the request belongs to, if known.
 * @param partitioned - Whether a partition is suspected.
 * @returns The decision.
 */
export function orphanVerdict (request: RunningRequest, host: HostLiveness | undefined, partitioned: boolean): OrphanVerdict {
  if (host === undefined) return request.ageMs >= UNKNOWN_HOST_WAIT_MS ? OrphanVerdict.Unknown : OrphanVerdict.Keep
  if (host.incarnation !== null && request.incarnation < host.incarnation) return OrphanVerdict.NewerIncarnation
  if (host.sinceLastMessageMs < ORPHAN_TIMEOUT_MS) return OrphanVerdict.Keep
  if (!host.listed) return OrphanVerdict.Unlisted
  if (host.sinceLastMessageMs >= PARTITION_WAIT_MS) return OrphanVerdict.LongUnreachable
  return partitioned ? OrphanVerdict.Keep : OrphanVerdict.Unreachable
}

/**
 * Finds the requests that an endpoint's owner must cancel.
 *
 * @param running - The endpoint's own list of running requests.
 * @param hosts - Liveness of every known host.
 * @returns Requests to cancel, each with the reason.
 */
export function findOrphans (running: readonly RunningRequest[], hosts: readonly HostLiveness[]): readonly Orphan[] {
  const byId = new Map(hosts.map(host => [host.id, host]))
  const partitioned = looksPartitioned(hosts)
  return running
    .map(request => ({ request, verdict: orphanVerdict(request, byId.get(request.hostId), partitioned) }))
    .filter(orphan => orphan.verdict !== OrphanVerdict.Keep)
}
