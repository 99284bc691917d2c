import type { WorkRequest } from './JaymillWorkload.js'
import { INTER_TOKEN_TARGET_MS, TTFT_TARGET_MS } from './JaymillPolicySite.js'

/** Why the result of a prefill was not used. */
export enum WasteCause {
  Caller = 'caller',
  Fault = 'fault',
  Policy = 'policy'
}

/** Figures of one run. */
export interface RunFigures {
  readonly offered: number
  readonly admitted: number
  readonly refused: number
  /** Attempts that killed hosts had on record: running and finished requests, unless the caller disconnected. */
  readonly lost: number
  readonly goodputPerSecond: number
  readonly ttftMs: readonly number[]
  readonly interTokenMs: readonly number[]
  readonly prefillTokens: number
  readonly wastedTokens: Readonly<Record<WasteCause, number>>
  readonly overruns: number
  readonly heldTooLong: number
  readonly unfinished: number
  readonly fairness: number
  /** Refused share of the requests of accounts that requested fewer tokens than their fair share. */
  readonly lightRefusedShare: number
}

interface Progress {
  firstTokenMs: number | null
  lastTokenMs: number
  tokens: number
  done: boolean
}

/**
 * Computes a percentile by the nearest-rank method.
 *
 * @param sorted - Values in ascending order.
 * @param share - Share of values at or below the result, 0 to 1.
 * @returns The percentile; 0 without values.
 */
export function percentile (sorted: readonly number[], share: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0
}

/** Records the outcome and latencies of each request of a run. */
export class FigureCollector {
  overruns = 0
  lost = 0
  readonly heldTooLong = new Set<string>()
  private _prefillTokens = 0
  private readonly _wasted = { [WasteCause.Caller]: 0, [WasteCause.Fault]: 0, [WasteCause.Policy]: 0 }
  private readonly _admitted = new Map<string, WorkRequest>()
  private readonly _refused = new Map<string, WorkRequest>()
  private readonly _disconnected = new Set<string>()
  private readonly _progress = new Map<string, Progress>()
  private readonly _gapsMs: number[] = []

  /**
   * Records that a request left the queue.
   *
   * @param req - Request.
   */
  recordAdmitted (req: WorkRequest): void {
    this._admitted.set(req.id, req)
  }

  /**
   * Records that the queue refused a request or expired it.
   *
   * @param req - Request.
   */
  recordRefused (req: WorkRequest): void {
    this._refused.set(req.id, req)
  }

  /**
   * Records that the caller of a request disconnected.
   *
   * @param req - Request.
   */
  recordDisconnected (req: WorkRequest): void {
    this._disconnected.add(req.id)
  }

  /**
   * Adds the prompt tokens of a prefill.
   *
   * @param tokens - Number of prompt tokens.
   */
  recordPrefill (tokens: number): void {
    this._prefillTokens += tokens
  }

  /**
   * Adds the prompt tokens of a prefill whose result was not used.
   *
   * @param tokens - Number of prompt tokens.
   * @param cause - Why the result was not used.
   */
  recordWaste (tokens: number, cause: WasteCause): void {
    this._wasted[cause] += tokens
  }

  /**
   * Records the time of a generated token.
   *
   * @param req - Request.
   * @param nowMs - Current time in milliseconds.
   */
  recordToken (req: WorkRequest, nowMs: number): void {
    const progress = this._progress.get(req.id)
    if (progress === undefined) {
      this._progress.set(req.id, { firstTokenMs: nowMs, lastTokenMs: nowMs, tokens: 1, done: false })
      return
    }
    this._gapsMs.push(nowMs - progress.lastTokenMs)
    progress.lastTokenMs = nowMs
    progress.tokens += 1
  }

  /**
   * Records that a request was completed.
   *
   * @param req - Request.
   */
  recordFinished (req: WorkRequest): void {
    const progress = this._progress.get(req.id)
    if (progress !== undefined) progress.done = true
  }

  /**
   * Computes the figures of the run.
   *
   * @param seconds - Duration of the demand, in seconds.
   * @returns All figures.
   */
  summarize (seconds: number): RunFigures {
    const started = [...this._admitted.values()].flatMap(req => {
      const progress = this._progress.get(req.id)
      return progress === undefined ? [] : [{ req, progress }]
    })
    return {
      offered: this._admitted.size + this._refused.size,
      admitted: this._admitted.size,
      refused: this._refused.size,
      lost: this.lost,
      goodputPerSecond: started.filter(({ req, progress }) => meetsTargets(req, progress)).length / seconds,
      ttftMs: sorted(started.map(({ req, progress }) => (progress.firstTokenMs ?? 0) - req.atMs)),
      interTokenMs: sorted(this._gapsMs),
      prefillTokens: this._prefillTokens,
      wastedTokens: this._wasted,
      overruns: this.overruns,
      heldTooLong: this.heldTooLong.size,
      unfinished: [...this._admitted.keys()]
        .filter(id => !this._disconnected.has(id) && this._progress.get(id)?.done !== true).length,
      ...this._fairness()
    }
  }

  private _fairness (): Pick<RunFigures, 'fairness' | 'lightRefusedShare'> {
    const requests = [...this._admitted.values(), ...this._refused.values()]
    const requested = tokensByAccount(requests)
    const served = tokensByAccount(requests.filter(req => this._progress.get(req.id)?.done === true || this._disconnected.has(req.id)))
    const shareTokens = fairShare(requested, served)
    const light = requests.filter(req => (requested.get(req.accountId) ?? 0) < shareTokens)
    return {
      fairness: jainIndex([...requested].map(([id, tokens]) => (served.get(id) ?? 0) / Math.min(tokens, shareTokens))),
      lightRefusedShare: light.filter(req => this._refused.has(req.id)).length / Math.max(1, light.length)
    }
  }
}

function tokensByAccount (reqs: readonly WorkRequest[]): ReadonlyMap<string, number> {
  return reqs.reduce((sums, req) =>
    sums.set(req.accountId, (sums.get(req.accountId) ?? 0) + req.promptTokens + req.outputTokens), new Map<string, number>())
}

function meetsTargets (req: WorkRequest, progress: Progress): boolean {
  const first = progress.firstTokenMs ?? Number.POSITIVE_INFINITY
  const meanGapMs = (progress.lastTokenMs - first) / Math.max(1, progress.tokens - 1)
  return progress.done && first - req.atMs <= TTFT_TARGET_MS && meanGapMs <= INTER_TOKEN_TARGET_MS
}

function sorted (values: readonly number[]): readonly number[] {
  return Array.from(Float64Array.from(values).sort())
}

/** Computes the max-min fair share per account of all tokens served. */
function fairShare (requested: ReadonlyMap<string, number>, served: ReadonlyMap<string, number>): number {
  const total = [...served.values()].reduce((sum, tokens) => sum + tokens, 0)
  const demands = sorted([...requested.values()])
  return demands.reduce((state, demand, index) => {
    const level = state.left / (demands.length - index)
    return { left: state.left - Math.min(demand, level), level: Math.max(state.level, level) }
  }, { left: total, level: 0 }).level
}

/** Computes the fairness index of Jain, Chiu and Hawe (1984); 1 when all values are equal. */
function jainIndex (values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0)
  const squares = values.reduce((total, value) => total + value * value, 0)
  return squares === 0 ? 1 : sum * sum / (values.length * squares)
}
