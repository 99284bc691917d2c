import { createHash } from 'node:crypto'
import { DocumentCodec, DocumentKey, FleetConfig, HostList, RevisionedDocument } from '@jaymill/core'
import { parseFleetConfig, parseHostList } from '@jaymill/settings'

abstract class Sha256Codec<T extends RevisionedDocument> extends DocumentCodec<T> {
  /** {@inheritDoc @jaymill/core#DocumentCodec.digest} */
  digest (text: string): string {
    return createHash('sha256').update(text).digest('hex')
  }
}

/** Parses and hashes fleet configurations. */
export class FleetCodec extends Sha256Codec<FleetConfig> {
  /** {@inheritDoc @jaymill/core#DocumentCodec.parse} */
  parse (text: string): FleetConfig {
    return parseFleetConfig(text, DocumentKey.Fleet)
  }
}

/** Parses and hashes host lists. */
export class HostListCodec extends Sha256Codec<HostList> {
  /** {@inheritDoc @jaymill/core#DocumentCodec.parse} */
  parse (text: string): HostList {
    return parseHostList(text, DocumentKey.Hosts)
  }
}
