import { RELAYS_PER_ZONE } from './constants.js'

/** A host that may relay the reports of others. */
export interface RelayCandidate {
  readonly address: string
  readonly zone: string
}

/**
 * Selects the hosts that relay reports: the lowest addresses of a zone, so that hosts with the same picture of the fleet agree
 * without an election. Hosts that differ do no harm, since any host relays the reports that it receives.
 *
 * @param zone - Availability zone whose relays are selected.
 * @param candidates - Hosts that are alive and not leaving.
 * @returns Addresses of the relays; those of the other zones when the zone has no candidate.
 */
export function selectRelays (zone: string, candidates: readonly RelayCandidate[]): readonly string[] {
  const inZone = candidates.filter(candidate => candidate.zone === zone)
  const addresses = (inZone.length > 0 ? inZone : candidates).map(({ address }) => address)
  return addresses.sort((a, b) => a < b ? -1 : 1).slice(0, RELAYS_PER_ZONE)
}
