/**
 * Revisions of the configuration source. A source that is restored from a copy gives out revisions a second time, in a new epoch.
 * Epoch and revision together are one number, so that what is read after a restore is newer than all that was read before.
 */

/** Number of revisions in an epoch; with it, an epoch of up to 17 bits fits into a safe integer. */
const REVISIONS_PER_EPOCH = 2 ** 36

/**
 * Combines epoch and revision.
 *
 * @param epoch - Number of restores of the source; 0 for a source that can't be restored.
 * @param revision - Revision within the epoch.
 * @returns The combined revision, or `undefined` when one of them is out of range.
 */
export function sourceRevision (epoch: number, revision: number): number | undefined {
  const combined = epoch * REVISIONS_PER_EPOCH + revision
  const isValid = Number.isSafeInteger(combined) && epoch >= 0 && revision >= 0 && revision < REVISIONS_PER_EPOCH && Number.isInteger(epoch)
  return isValid ? combined : undefined
}

/**
 * @param combined - A combined revision.
 * @returns Its epoch.
 */
export function epochOf (combined: number): number {
  return Math.floor(combined / REVISIONS_PER_EPOCH)
}

/**
 * @param combined - Combined revision of what was read.
 * @param before - Combined revision of what was read before; 0 if nothing was.
 * @returns Whether the source was restored in between.
 */
export function wasRestored (combined: number, before: number): boolean {
  return before > 0 && epochOf(combined) > epochOf(before)
}

/**
 * @param combined - A combined revision.
 * @returns The revision within its epoch.
 */
export function revisionInEpoch (combined: number): number {
  return combined % REVISIONS_PER_EPOCH
}
