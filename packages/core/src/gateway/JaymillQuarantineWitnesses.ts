import { MAX_REPORTED_WITNESSES } from './constants.js'
import { Sighting } from './JaymillQuarantineDecision.js'

/**
 * Selects few sightings of a quarantined key that suffice for quarantining it: of different incidents and, as far as possible,
 * of different requests. Incidents with the fewest requests choose first, so that the others can choose a different one.
 *
 * @param sightings - All sightings of the key.
 * @returns At most `MAX_REPORTED_WITNESSES` sightings.
 */
export function selectWitnesses (sightings: readonly Sighting[]): readonly Sighting[] {
  const incidents = [...new Set(sightings.map(({ incident }) => incident))]
  return incidents
    .map(incident => sightings.filter(sighting => sighting.incident === incident))
    .sort((a, b) => countRequests(a) - countRequests(b) || latestMs(b) - latestMs(a))
    .slice(0, MAX_REPORTED_WITNESSES)
    .reduce<Sighting[]>(addWitness, [])
}

function addWitness (witnesses: Sighting[], candidates: readonly Sighting[]): Sighting[] {
  const isUnused = ({ request }: Sighting): boolean => witnesses.every(witness => witness.request !== request)
  const witness = candidates.find(isUnused) ?? candidates[0]
  return witness === undefined ? witnesses : [...witnesses, witness]
}

function countRequests (sightings: readonly Sighting[]): number {
  return new Set(sightings.map(({ request }) => request)).size
}

function latestMs (sightings: readonly Sighting[]): number {
  return Math.max(...sightings.map(({ crash }) => crash.atMs))
}
