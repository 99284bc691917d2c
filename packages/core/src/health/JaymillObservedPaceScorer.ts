import {
  EJECT_SIGMAS, EJECT_SLOWNESS, MAX_DIGEST_ENTRIES, MAX_EJECTED_SHARE, MAX_HOST_SAMPLES, MIN_SAMPLES, MIN_SHARED_SAMPLES, MIN_SIGMA, MIN_WEIGHT,
  PROBE_WEIGHT, REDUCE_SIGMAS
} from './constants.js'
import { Ejection, EjectionState } from './JaymillEjection.js'
import { PaceDigest, PaceDigests, PaceEntry } from './JaymillHealthDigest.js'
import { PaceMeasure, PaceObservation } from './JaymillPaceMeasure.js'
import { PaceWindow } from './JaymillPaceWindow.js'
import { median, robustSigma, weightedMedian } from './JaymillRobustStatistics.js'
import { EndpointHealth, StragglerScorer } from './JaymillStragglerScorer.js'

const MEASURES = Object.values(PaceMeasure)

/** Distance of one endpoint from its pool. */
interface Deviation {
  /** Difference of logarithms from the pool's median. */
  readonly excess: number
  /** The same in robust deviations. */
  readonly sigmas: number
}

const NO_DEVIATION: Deviation = { excess: 0, sigmas: 0 }

/** Scores endpoints by the times of own requests and of peers, against the pool's median and spread. */
export class ObservedPaceScorer extends StragglerScorer {
  private readonly _windows = new Map<string, PaceWindow>()
  private readonly _ejections = new Map<string, Ejection>()
  private readonly _digests = new PaceDigests()

  /** {@inheritDoc StragglerScorer.observe} */
  observe (observation: PaceObservation, nowMs: number): void {
    const { observedMs, expectedMs } = observation
    const ratio = Math.max(observedMs, Number.EPSILON) / Math.max(expectedMs, Number.EPSILON)
    this._window(observation).add(Math.log(ratio), nowMs)
    this._ejection(observation.endpointId).succeeded()
  }

  /** {@inheritDoc StragglerScorer.failed} */
  failed (endpointId: string): void {
    this._ejection(endpointId).failed()
  }

  /** {@inheritDoc StragglerScorer.health} */
  health (pool: readonly string[], nowMs: number): readonly EndpointHealth[] {
    const deviations = this._deviations(pool, nowMs)
    this._restore(pool, deviations, nowMs)
    this._eject(pool, deviations, nowMs)
    return pool.map(endpointId => this._healthOf(endpointId, deviations.get(endpointId) ?? NO_DEVIATION, nowMs))
  }

  /** {@inheritDoc StragglerScorer.digest} */
  digest (hostId: string, seq: number, nowMs: number): PaceDigest {
    const all = [...this._windows].flatMap(([key, window]) => ownEntry(key, window, nowMs))
    const centres = new Map(MEASURES.map(measure => [measure, median(all.filter(e => e.measure === measure).map(e => e.pace))]))
    const distance = (entry: PaceEntry): number => Math.abs(entry.pace - (centres.get(entry.measure) ?? 0))
    const entries = all
      .filter(entry => distance(entry) >= REDUCE_SIGMAS * MIN_SIGMA)
      .sort((a, b) => distance(b) - distance(a))
      .slice(0, MAX_DIGEST_ENTRIES)
    return { hostId, seq, entries }
  }

  /** {@inheritDoc StragglerScorer.merge} */
  merge (digest: PaceDigest, nowMs: number): void {
    this._digests.merge(digest, nowMs)
  }

  private _healthOf (endpointId: string, deviation: Deviation, nowMs: number): EndpointHealth {
    const state = this._ejection(endpointId).state(nowMs)
    return { endpointId, state, weight: weightOf(state, deviation), slowness: Math.exp(deviation.excess) }
  }

  private _deviations (pool: readonly string[], nowMs: number): Map<string, Deviation> {
    const shared = groupByKey(this._digests.entries(nowMs))
    const worst = new Map<string, Deviation>()
    MEASURES.forEach(measure => {
      const paces = pool.map(endpointId => ({ endpointId, pace: this._pace(endpointId, measure, shared, nowMs) }))
      const known = paces.filter(({ pace }) => !Number.isNaN(pace))
      const centre = median(known.map(({ pace }) => pace))
      const sigma = Math.max(MIN_SIGMA, robustSigma(known.map(({ pace }) => pace)))
      known.forEach(({ endpointId, pace }) => {
        const excess = pace - centre
        if (excess > (worst.get(endpointId) ?? NO_DEVIATION).excess) worst.set(endpointId, { excess, sigmas: excess / sigma })
      })
    })
    return worst
  }

  private _pace (endpointId: string, measure: PaceMeasure, shared: ReadonlyMap<string, PaceEntry[]>, nowMs: number): number {
    const key = keyOf(endpointId, measure)
    const own = this._windows.get(key)
    const ownSamples = own?.count(nowMs) ?? 0
    const peers = shared.get(key) ?? []
    const total = peers.reduce((sum, entry) => sum + entry.samples, ownSamples)
    if (total < MIN_SAMPLES) return NaN
    const views = peers.map(entry => ({ value: entry.pace, weight: entry.samples }))
    const ownView = { value: own?.centre(nowMs) ?? NaN, weight: Math.min(ownSamples, MAX_HOST_SAMPLES) }
    return weightedMedian(ownSamples === 0 ? views : [...views, ownView])
  }

  private _eject (pool: readonly string[], deviations: Map<string, Deviation>, nowMs: number): void {
    const out = pool.filter(id => this._ejection(id).state(nowMs) === EjectionState.Ejected).length
    const room = Math.max(0, Math.floor(pool.length * MAX_EJECTED_SHARE) - out)
    const severity = (id: string): number => this._ejection(id).failing ? Infinity : deviations.get(id)?.excess ?? 0
    pool
      .filter(id => this._ejection(id).state(nowMs) !== EjectionState.Ejected)
      .filter(id => this._ejection(id).failing || mustEject(deviations.get(id) ?? NO_DEVIATION))
      .sort((a, b) => severity(b) - severity(a))
      .slice(0, room)
      .forEach(id => {
        this._ejection(id).eject(nowMs)
        this._forget(id)
      })
  }

  private _restore (pool: readonly string[], deviations: Map<string, Deviation>, nowMs: number): void {
    pool
      .filter(id => this._ejection(id).state(nowMs) === EjectionState.Probing)
      .filter(id => this._samples(id, nowMs) >= MIN_SAMPLES)
      .filter(id => (deviations.get(id) ?? NO_DEVIATION).sigmas < REDUCE_SIGMAS)
      .forEach(id => this._ejection(id).restore())
  }

  private _samples (endpointId: string, nowMs: number): number {
    const counts = MEASURES.map(measure => this._windows.get(keyOf(endpointId, measure))?.count(nowMs) ?? 0)
    return Math.max(...counts)
  }

  private _forget (endpointId: string): void {
    MEASURES.forEach(measure => this._windows.get(keyOf(endpointId, measure))?.clear())
  }

  private _window (observation: PaceObservation): PaceWindow {
    const key = keyOf(observation.endpointId, observation.measure)
    const known = this._windows.get(key) ?? new PaceWindow()
    this._windows.set(key, known)
    return known
  }

  private _ejection (endpointId: string): Ejection {
    const known = this._ejections.get(endpointId) ?? new Ejection()
    this._ejections.set(endpointId, known)
    return known
  }
}

function keyOf (endpointId: string, measure: PaceMeasure): string {
  return `${measure}/${endpointId}`
}

function groupByKey (entries: readonly PaceEntry[]): Map<string, PaceEntry[]> {
  const groups = new Map<string, PaceEntry[]>()
  entries.forEach(entry => {
    const key = keyOf(entry.endpointId, entry.measure)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [entry])
    else group.push(entry)
  })
  return groups
}

function ownEntry (key: string, window: PaceWindow, nowMs: number): PaceEntry[] {
  const samples = window.count(nowMs)
  if (samples < MIN_SHARED_SAMPLES) return []
  const [measure, endpointId] = splitKey(key)
  return [{ endpointId, measure, pace: Number(window.centre(nowMs).toFixed(3)), samples }]
}

function splitKey (key: string): [PaceMeasure, string] {
  const slash = key.indexOf('/')
  return [key.slice(0, slash) as PaceMeasure, key.slice(slash + 1)]
}

function mustEject (deviation: Deviation): boolean {
  return deviation.sigmas >= EJECT_SIGMAS && deviation.excess >= Math.log(EJECT_SLOWNESS)
}

function weightOf (state: EjectionState, deviation: Deviation): number {
  if (state === EjectionState.Ejected) return 0
  if (state === EjectionState.Probing) return PROBE_WEIGHT
  if (deviation.sigmas < REDUCE_SIGMAS) return 1
  return Math.max(MIN_WEIGHT, Math.exp(-deviation.excess))
}
