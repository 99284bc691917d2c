/** Where a beacon stands among those of its sender. */
export interface BeaconStamp {
  /** Start of the sender's process by its time of day, in milliseconds since the Unix epoch. */
  readonly born: number
  /** Rises with each beacon of one start. */
  readonly seq: number
}

/**
 * Tells whether a beacon is newer than what is known of its sender. The time of day may have been set back between two
 * starts, so that a start that seems to be older counts once the sender has been silent for long.
 *
 * @param beacon - Stamp of the beacon.
 * @param known - Stamp of the newest one so far.
 * @param live - Whether the sender was heard lately.
 * @returns Whether the beacon is to be taken in.
 */
export function isNewerBeacon (beacon: BeaconStamp, known: BeaconStamp, live: boolean): boolean {
  if (beacon.born === known.born) return beacon.seq > known.seq
  return beacon.born > known.born || !live
}
