import {
  EJECT_SIGMAS, EJECT_SLOWNESS, MAX_EJECTED_SHARE, MAX_HOST_SAMPLES, MAX_SUMMARY_ENTRIES, MIN_SAMPLES, MIN_SHARED_SAMPLES, MIN_SIGMA,
  MIN_WEIGHT, PROBE_WEIGHT, REDUCE_SIGMAS
} from './constants.js'
import { Ejection, EjectionState } from './JaymillEjection.js'
import { LatencyMeasure, LatencyObservation } from './JaymillLatencyMeasure.js'
import { LatencyRatioWindow } from './JaymillLatencyRatioWindow.js'
import { LatencySummary, LatencySummaryEntry, PeerLatencySummaries } from './JaymillLatencySummary.js'
import { median, robustSigma, weightedMedian } from './JaymillRobustStatistics.js'
import { EndpointHealth, StragglerScorer } from './JaymillStragglerScorer.js'

const LATENCY_MEASURES = Object.values(LatencyMeasure)

/** Deviation of one endpoint from its pool. */
interface Deviation {
  /** Difference of the log ratio from the median of the pool. */
  readonly excess: number
  /** The same difference in robust standard deviations. */
  readonly sigmas: number
}

const NO_DEVIATION: Deviation = { excess: 0, sigmas: 0 }

/** Scores endpoints by latencies observed on this host and its peers, relative to the median and spread of the pool. */
export class LatencyRatioScorer extends StragglerScorer {
  private readonly _windows = new Map<string, LatencyRatioWindow>()
  private readonly _ejections = new Map<string, Ejection>()
  private readonly _peerSummaries = new PeerLatencySummaries()

  /** {@inheritDoc StragglerScorer.observe} */
  observe (observation: LatencyObservation, nowMs: number): void {
    const { observedMs, expectedMs } = observation
    const ratio = Math.max(observedMs, Number.EPSILON) / Math.max(expectedMs, Number.EPSILON)
    this._window(observation).add(Math.log(ratio), nowMs)
    this._ejection(observation.endpointId).recordSuccess()
  }

  /** {@inheritDoc StragglerScorer.recordFailure} */
  recordFailure (endpointId: string): void {
    this._ejection(endpointId).recordFailure()
  }

  /** {@inheritDoc StragglerScorer.health} */
  health (pool: readonly string[], nowMs: number): readonly EndpointHealth[] {
    const deviations = this._deviations(pool, nowMs)
    this._restore(pool, deviations, nowMs)
    this._eject(pool, deviations, nowMs)
    return pool.map(endpointId => this._healthOf(endpointId, deviations.get(endpointId) ?? NO_DEVIATION, nowMs))
  }

  /** {@inheritDoc StragglerScorer.summarize} */
  summarize (hostId: string, seq: number, nowMs: number): LatencySummary {
    const ownEntries = [...this._windows].flatMap(([key, window]) => ownEntry(key, window, nowMs))
    const medians = new Map(LATENCY_MEASURES.map(measure =>
      [measure, median(ownEntries.filter(e => e.measure === measure).map(e => e.pace))]))
    const distance = (entry: LatencySummaryEntry): number => Math.abs(entry.pace - (medians.get(entry.measure) ?? 0))
    const entries = ownEntries
      .filter(entry => distance(entry) >= REDUCE_SIGMAS * MIN_SIGMA)
      .sort((a, b) => distance(b) - distance(a))
      .slice(0, MAX_SUMMARY_ENTRIES)
    return { hostId, seq, entries }
  }

  /** {@inheritDoc StragglerScorer.merge} */
  merge (summary: LatencySummary, nowMs: number): void {
    this._peerSummaries.merge(summary, nowMs)
  }

  private _healthOf (endpointId: string, deviation: Deviation, nowMs: number): EndpointHealth {
    const state = this._ejection(endpointId).state(nowMs)
    return { endpointId, state, weight: weightOf(state, deviation), slowness: Math.exp(deviation.excess) }
  }

  private _deviations (pool: readonly string[], nowMs: number): Map<string, Deviation> {
    const peerEntries = groupByKey(this._peerSummaries.entries(nowMs))
    const worst = new Map<string, Deviation>()
    LATENCY_MEASURES.forEach(measure => {
      const logRatios = pool.map(endpointId =>
        ({ endpointId, logRatio: this._logRatio(endpointId, measure, peerEntries, nowMs) }))
      const measured = logRatios.filter(({ logRatio }) => !Number.isNaN(logRatio))
      const poolMedian = median(measured.map(({ logRatio }) => logRatio))
      const sigma = Math.max(MIN_SIGMA, robustSigma(measured.map(({ logRatio }) => logRatio)))
      measured.forEach(({ endpointId, logRatio }) => {
        const excess = logRatio - poolMedian
        if (excess > (worst.get(endpointId) ?? NO_DEVIATION).excess) worst.set(endpointId, { excess, sigmas: excess / sigma })
      })
    })
    return worst
  }

  private _logRatio (
    endpointId: string, measure: LatencyMeasure, peerEntries: ReadonlyMap<string, LatencySummaryEntry[]>, nowMs: number
  ): number {
    const key = keyOf(endpointId, measure)
    const ownWindow = this._windows.get(key)
    const ownSamples = ownWindow?.count(nowMs) ?? 0
    const entries = peerEntries.get(key) ?? []
    const totalSamples = entries.reduce((sum, entry) => sum + entry.samples, ownSamples)
    if (totalSamples < MIN_SAMPLES) return NaN
    const peerValues = entries.map(entry => ({ value: entry.pace, weight: entry.samples }))
    const ownValue = { value: ownWindow?.median(nowMs) ?? NaN, weight: Math.min(ownSamples, MAX_HOST_SAMPLES) }
    return weightedMedian(ownSamples === 0 ? peerValues : [...peerValues, ownValue])
  }

  private _eject (pool: readonly string[], deviations: Map<string, Deviation>, nowMs: number): void {
    const ejectedCount = pool.filter(id => this._ejection(id).state(nowMs) === EjectionState.Ejected).length
    const remainingEjections = Math.max(0, Math.floor(pool.length * MAX_EJECTED_SHARE) - ejectedCount)
    const severity = (id: string): number => this._ejection(id).failureLimitReached ? Infinity : deviations.get(id)?.excess ?? 0
    pool
      .filter(id => this._ejection(id).state(nowMs) !== EjectionState.Ejected)
      .filter(id => this._ejection(id).failureLimitReached || isEjectionCandidate(deviations.get(id) ?? NO_DEVIATION))
      .sort((a, b) => severity(b) - severity(a))
      .slice(0, remainingEjections)
      .forEach(id => {
        this._ejection(id).eject(nowMs)
        this._clearWindows(id)
      })
  }

  private _restore (pool: readonly string[], deviations: Map<string, Deviation>, nowMs: number): void {
    pool
      .filter(id => this._ejection(id).state(nowMs) === EjectionState.Probing)
      .filter(id => this._maxSampleCount(id, nowMs) >= MIN_SAMPLES)
      .filter(id => (deviations.get(id) ?? NO_DEVIATION).sigmas < REDUCE_SIGMAS)
      .forEach(id => this._ejection(id).restore())
  }

  private _maxSampleCount (endpointId: string, nowMs: number): number {
    const counts = LATENCY_MEASURES.map(measure => this._windows.get(keyOf(endpointId, measure))?.count(nowMs) ?? 0)
    return Math.max(...counts)
  }

  private _clearWindows (endpointId: string): void {
    LATENCY_MEASURES.forEach(measure => this._windows.get(keyOf(endpointId, measure))?.clear())
  }

  private _window (observation: LatencyObservation): LatencyRatioWindow {
    const key = keyOf(observation.endpointId, observation.measure)
    const window = this._windows.get(key) ?? new LatencyRatioWindow()
    this._windows.set(key, window)
    return window
  }

  private _ejection (endpointId: string): Ejection {
    const ejection = this._ejections.get(endpointId) ?? new Ejection()
    this._ejections.set(endpointId, ejection)
    return ejection
  }
}

function keyOf (endpointId: string, measure: LatencyMeasure): string {
  return `${measure}/${endpointId}`
}

function groupByKey (entries: readonly LatencySummaryEntry[]): Map<string, LatencySummaryEntry[]> {
  const groups = new Map<string, LatencySummaryEntry[]>()
  entries.forEach(entry => {
    const key = keyOf(entry.endpointId, entry.measure)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [entry])
    else group.push(entry)
  })
  return groups
}

function ownEntry (key: string, window: LatencyRatioWindow, nowMs: number): LatencySummaryEntry[] {
  const samples = window.count(nowMs)
  if (samples < MIN_SHARED_SAMPLES) return []
  const [measure, endpointId] = splitKey(key)
  return [{ endpointId, measure, pace: Number(window.median(nowMs).toFixed(3)), samples }]
}

function splitKey (key: string): [LatencyMeasure, string] {
  const slash = key.indexOf('/')
  return [key.slice(0, slash) as LatencyMeasure, key.slice(slash + 1)]
}

function isEjectionCandidate (deviation: Deviation): boolean {
  return deviation.sigmas >= EJECT_SIGMAS && deviation.excess >= Math.log(EJECT_SLOWNESS)
}

function weightOf (state: EjectionState, deviation: Deviation): number {
  if (state === EjectionState.Ejected) return 0
  if (state === EjectionState.Probing) return PROBE_WEIGHT
  if (deviation.sigmas < REDUCE_SIGMAS) return 1
  return Math.max(MIN_WEIGHT, Math.exp(-deviation.excess))
}
