import type { RunningRequest } from '../ports/JaymillEngineClient.js'
import { ORPHAN_SILENCE_MS, PARTITION_SHARE, PARTITION_WAIT_MS, UNKNOWN_HOST_WAIT_MS } from './JaymillRoutingConstants.js'

/** What is known of one host. */
export interface HostFacts {
  readonly id: string
  /** Largest incarnation heard of; `null` before the first heartbeat. */
  readonly incarnation: number | null
  /** Whether the newest adopted list names it. */
  readonly listed: boolean
  /** Time since the last sign of life, in milliseconds. */
  readonly silentMs: number
}

/** Verdict on the host that a request belongs to. */
export enum OrphanVerdict {
  Keep = 'keep',
  /** The process was replaced. */
  NewerIncarnation = 'newer-incarnation',
  /** The host is silent and the list no longer names it. */
  Unlisted = 'unlisted',
  /** The host alone is silent. */
  Silent = 'silent',
  /** The host is silent for so long that a partition no longer excuses it. */
  LongSilent = 'long-silent',
  /** No list has named the host within the wait for late lists. */
  Unknown = 'unknown'
}

/** A request to be cancelled on its endpoint. */
export interface Orphan {
  readonly request: RunningRequest
  readonly verdict: OrphanVerdict
}

/**
 * Says whether silence looks like a partition rather than the death of one host.
 *
 * @param hosts - Facts of every known host.
 * @returns Whether the silent share of the listed hosts exceeds `PARTITION_SHARE`.
 */
export function looksPartitioned (hosts: readonly HostFacts[]): boolean {
  const listed = hosts.filter(host => host.listed)
  const silent = listed.filter(host => host.silentMs >= ORPHAN_SILENCE_MS)
  return silent.length > 1 && silent.length > listed.length * PARTITION_SHARE
}

/**
 * Judges one running request by what is known of its host.
 *
 * @param request - Request in the endpoint's own list.
 * @param host - Facts of the host in its tag, if any.
 * @param partitioned - Whether silence looks like a partition.
 * @returns The verdict.
 */
export function orphanVerdict (request: RunningRequest, host: HostFacts | undefined, partitioned: boolean): OrphanVerdict {
  if (host === undefined) return request.ageMs >= UNKNOWN_HOST_WAIT_MS ? OrphanVerdict.Unknown : OrphanVerdict.Keep
  if (host.incarnation !== null && request.incarnation < host.incarnation) return OrphanVerdict.NewerIncarnation
  if (host.silentMs < ORPHAN_SILENCE_MS) return OrphanVerdict.Keep
  if (!host.listed) return OrphanVerdict.Unlisted
  if (host.silentMs >= PARTITION_WAIT_MS) return OrphanVerdict.LongSilent
  return partitioned ? OrphanVerdict.Keep : OrphanVerdict.Silent
}

/**
 * Finds the requests that an endpoint's owner must cancel.
 *
 * @param running - The endpoint's own list.
 * @param hosts - Facts of every known host.
 * @returns Requests whose host is gone, each with the reason.
 */
export function findOrphans (running: readonly RunningRequest[], hosts: readonly HostFacts[]): readonly Orphan[] {
  const byId = new Map(hosts.map(host => [host.id, host]))
  const partitioned = looksPartitioned(hosts)
  return running
    .map(request => ({ request, verdict: orphanVerdict(request, byId.get(request.hostId), partitioned) }))
    .filter(orphan => orphan.verdict !== OrphanVerdict.Keep)
}
