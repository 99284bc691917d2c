import { LinkedAbort } from '../endpoints/JaymillLinkedAbort.js'
import { RunEnd, type StreamRun } from './JaymillStreamRun.js'

/** What happens while a run is silent. */
export interface SilenceRaceOptions<T> {
  /** Aborts a replacement that is prepared. */
  readonly signal: AbortSignal
  /** Time after which a replacement is prepared, in milliseconds. */
  readonly silenceMs: number
  /** Whether the run can continue with what it has waited for. */
  readonly isUsable: (value: T) => boolean
  /** Prepares a replacement until its events arrive; resolves to `undefined` when there is none, or its signal aborts. */
  readonly replace: (signal: AbortSignal) => Promise<StreamRun | undefined>
  /** Called when the run has fallen silent. */
  readonly onSilent: () => void
}

/** What came first: the run's own next step, or a run that replaces it. */
export type SilenceRaceResult<T> = { readonly own: T, readonly replacement?: never } | { readonly own?: never, readonly replacement: StreamRun }

/**
 * Waits for the next step of a run. If it takes too long, another run is prepared, and the first of the two to have something for the
 * caller continues: an endpoint that is gone and one that is only silent look alike, so neither is given up before the other has sent
 * events. Without a replacement, the run's own step is waited for.
 *
 * @param own - Next step of the run.
 * @param options - What happens while it is silent.
 * @returns What came first.
 * @throws What `own` rejects with, when there is no replacement either.
 */
export async function raceSilence<T> (own: Promise<T>, options: SilenceRaceOptions<T>): Promise<SilenceRaceResult<T>> {
  if (await settlesWithin(own, options.silenceMs)) return { own: await own }
  options.onSilent()
  return await raceReplacement(own, options)
}

async function raceReplacement<T> (own: Promise<T>, options: SilenceRaceOptions<T>): Promise<SilenceRaceResult<T>> {
  const { signal, silenceMs, isUsable, replace } = options
  const abort = new LinkedAbort(signal)
  const replacement = replace(abort.signal)
  const ownUsable = own.then(isUsable, () => false)
  const run = await Promise.race([replacement, ownUsable.then(async usable => usable ? undefined : await replacement)])
  if (run !== undefined) return { replacement: run }
  abort.abort()
  abort.dispose()
  const late = replacement.then(unneeded => unneeded?.end(RunEnd.Unneeded))
  if (await settlesWithin(own, silenceMs)) return { own: await own }
  await late
  return await raceReplacement(own, options)
}

/** After this process was paused, timers are run before data that has arrived meanwhile is read, so one turn of the event loop is added. */
async function settlesWithin (promise: Promise<unknown>, ms: number): Promise<boolean> {
  return await new Promise(resolve => {
    const timer = setTimeout(() => setImmediate(() => resolve(false)), ms)
    const settle = (): void => {
      clearTimeout(timer)
      resolve(true)
    }
    promise.then(settle, settle)
  })
}
