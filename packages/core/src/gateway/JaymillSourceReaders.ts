import { LARGE_FLEET_HOSTS, READERS_PER_ZONE, READER_TRIES_PER_ZONE } from './constants.js'

/** What one host tells the others about itself and the source of configuration and endpoints. */
export interface SourceReader {
  /** IP number of the host. */
  readonly address: string
  readonly zone: string
  /** Whether it follows the source and its last question was answered. */
  readonly connected: boolean
}

/** Decides which hosts follow the source; the others learn from them. */
export abstract class SourceReaders {
  /**
   * @param own - This host.
   * @param peers - Hosts that were heard lately.
   * @returns Whether this host has to follow the source.
   */
  abstract reads (own: SourceReader, peers: readonly SourceReader[]): boolean
}

/** Baseline: every host follows the source. Its calls grow with the fleet. */
export class EveryHostReads extends SourceReaders {
  /** {@inheritDoc SourceReaders.reads} */
  reads (): boolean {
    return true
  }
}

/**
 * Answer to a source whose calls are limited and cost the same for each host: in each availability zone the hosts with the
 * lowest addresses follow it. A host steps in for those before it that are silent or that the source doesn't answer, and
 * steps back once they are served again. While the source answers nobody, only the first few of a zone go on asking.
 */
export class FewReadersPerZone extends SourceReaders {
  /** {@inheritDoc SourceReaders.reads} */
  reads (own: SourceReader, peers: readonly SourceReader[]): boolean {
    if (peers.length < LARGE_FLEET_HOSTS) return true
    const before = peers.filter(({ zone, address }) => zone === own.zone && address < own.address)
    const served = before.filter(({ connected }) => connected).length
    return served < READERS_PER_ZONE && before.length < READER_TRIES_PER_ZONE
  }
}
