import { PeerStatus } from '../ports/peers/JaymillHeartbeatHandler.js'
import {
  GONE_AFTER_SUSPECT_MS, HEARTBEAT_INTERVAL_MS, MAX_PROBES, PROBE_AFTER_MS, SUSPECT_AFTER_MS
} from './JaymillMembershipConstants.js'
import type { PeerRecord } from './JaymillPeerRecord.js'

/**
 * Returns the new status of a host whose timeout has passed.
 *
 * @param peer - The host.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns The new status, or `undefined` when it does not change.
 */
export function statusAfterTimeout (peer: PeerRecord, nowMs: number): PeerStatus | undefined {
  const sinceAliveMs = peer.lastAliveMs === null ? 0 : nowMs - peer.lastAliveMs
  const sinceChangeMs = nowMs - peer.changedMs
  switch (peer.status) {
    case PeerStatus.Live: return sinceAliveMs >= SUSPECT_AFTER_MS ? PeerStatus.Suspect : undefined
    case PeerStatus.Suspect: return sinceChangeMs >= GONE_AFTER_SUSPECT_MS ? PeerStatus.Gone : undefined
    case PeerStatus.Leaving: return sinceAliveMs >= SUSPECT_AFTER_MS + GONE_AFTER_SUSPECT_MS ? PeerStatus.Gone : undefined
    case PeerStatus.Gone: return undefined
  }
}

/**
 * Selects hosts to probe, so that a host is not suspected only because its heartbeats go to other partners.
 *
 * @param peers - All other hosts.
 * @param nowMs - Monotonic time in milliseconds.
 * @returns Ids of at most `MAX_PROBES` hosts.
 */
export function dueProbes (peers: readonly PeerRecord[], nowMs: number): string[] {
  return peers
    .filter(({ status }) => status !== PeerStatus.Gone)
    .filter(({ lastAliveMs }) => lastAliveMs !== null && nowMs - lastAliveMs >= PROBE_AFTER_MS)
    .filter(({ lastProbeMs }) => nowMs - lastProbeMs >= HEARTBEAT_INTERVAL_MS)
    .slice(0, MAX_PROBES)
    .map(({ entry }) => entry.id)
}
