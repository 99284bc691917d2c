/** Abort signal that also aborts when its parent signal aborts, until `abort` has unlinked it. */
export interface LinkedAbort {
  readonly signal: AbortSignal
  /** Aborts the signal and removes its listener from the parent, so that a long-lived parent keeps no reference. */
  readonly abort: () => void
}

/**
 * Links a short-lived signal to a parent signal.
 *
 * @param parent - Signal whose abort is propagated.
 * @returns The linked signal.
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
