import { LARGE_FLEET_HOSTS, READER_CANDIDATES_PER_ZONE, READERS_PER_ZONE, ZONES_WITH_ONE_READER } from './constants.js'

/** State of one host with regard to the configuration source, as reported to the other hosts. */
export interface SourceReader {
  /** IP address of the host. */
  readonly address: string
  readonly zone: string
  /** Whether it reads from the source and its last request succeeded. */
  readonly connected: boolean
}

/** Decides which hosts read from the configuration source; the others get updates from these hosts. */
export abstract class SourceReaderSelection {
  /**
   * Decides whether this host reads from the source.
   *
   * @param own - This host.
   * @param peers - Hosts with a recent heartbeat.
   * @returns Whether this host should read from the source.
   */
  abstract shouldRead (own: SourceReader, peers: readonly SourceReader[]): boolean
}

/** Baseline: every host reads from the source, so the load on the source grows with the fleet. */
export class AllHostsReaderSelection extends SourceReaderSelection {
  /** {@inheritDoc SourceReaderSelection.shouldRead} */
  shouldRead (): boolean {
    return true
  }
}

/**
 * Limits the load on a source with a bounded request rate, where each reading host costs the same: in each availability zone
 * of a large fleet only the connected hosts with the lowest addresses read from it. A host takes over when hosts before it time
 * out or lose their connection, and stops when they are connected again. During an outage of the source only the first few
 * hosts of a zone keep trying.
 */
export class PerZoneReaderSelection extends SourceReaderSelection {
  /** {@inheritDoc SourceReaderSelection.shouldRead} */
  shouldRead (own: SourceReader, peers: readonly SourceReader[]): boolean {
    if (peers.length < LARGE_FLEET_HOSTS) return true
    const preceding = peers.filter(({ zone, address }) => zone === own.zone && address < own.address)
    const connectedBefore = preceding.filter(({ connected }) => connected).length
    const zones = new Set([own, ...peers].map(({ zone }) => zone)).size
    const readers = zones >= ZONES_WITH_ONE_READER ? 1 : READERS_PER_ZONE
    return connectedBefore < readers && preceding.length < READER_CANDIDATES_PER_ZONE
  }
}
