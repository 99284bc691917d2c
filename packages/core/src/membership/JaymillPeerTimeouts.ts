import { PeerStatus } from '../ports/peers/JaymillHeartbeatHandler.js'
import {
  GONE_AFTER_SUSPECT_MS, HEARTBEAT_INTERVAL_MS, MAX_PROBES, PROBE_AFTER_MS, SUSPECT_AFTER_MS
} from './JaymillMembershipConstants.js'
import type { PeerRecord } from './JaymillPeerRecord.js'

/**
 * Status that silence gives a host.
 *
 * @param peer - The host.
 * @param nowMs - Time in milliseconds.
 * @returns The new status, `undefined` when nothing changes.
 */
export function dueStatus (peer: PeerRecord, nowMs: number): PeerStatus | undefined {
  const silentMs = peer.lastDirectMs === null ? 0 : nowMs - peer.lastDirectMs
  const suspectMs = nowMs - peer.changedMs
  switch (peer.status) {
    case PeerStatus.Live: return silentMs >= SUSPECT_AFTER_MS ? PeerStatus.Suspect : undefined
    case PeerStatus.Suspect: return suspectMs >= GONE_AFTER_SUSPECT_MS ? PeerStatus.Gone : undefined
    case PeerStatus.Leaving: return silentMs >= SUSPECT_AFTER_MS + GONE_AFTER_SUSPECT_MS ? PeerStatus.Gone : undefined
    case PeerStatus.Gone: return undefined
  }
}

/**
 * Hosts that are asked once more, so that nobody is suspected because heartbeats took another way.
 *
 * @param peers - All hosts.
 * @param nowMs - Time in milliseconds.
 * @returns Ids of at most `MAX_PROBES` hosts.
 */
export function dueProbes (peers: readonly PeerRecord[], nowMs: number): string[] {
  return peers
    .filter(({ status }) => status !== PeerStatus.Gone)
    .filter(({ lastDirectMs }) => lastDirectMs !== null && nowMs - lastDirectMs >= PROBE_AFTER_MS)
    .filter(({ lastProbeMs }) => nowMs - lastProbeMs >= HEARTBEAT_INTERVAL_MS)
    .slice(0, MAX_PROBES)
    .map(({ entry }) => entry.id)
}
