/** An abort controller that also follows a parent until it is unlinked. */
export interface LinkedAbort {
  readonly signal: AbortSignal
  /** Aborts the signal and leaves the parent, so that a long-lived parent keeps no reference. */
  readonly abort: () => void
}

/**
 * Follows a parent signal for a short piece of work.
 *
 * @param parent - Signal whose abort is passed on.
 * @returns The child.
 */
export function linkAbort (parent: AbortSignal): LinkedAbort {
  const child = new AbortController()
  const abort = () => {
    parent.removeEventListener('abort', abort)
    child.abort()
  }
  parent.addEventListener('abort', abort, { once: true })
  if (parent.aborted) abort()
  return { signal: child.signal, abort }
}
