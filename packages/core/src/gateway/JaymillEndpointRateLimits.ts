import { RATE_LIMIT_MIN_PER_S, RATE_LIMIT_TTL_MS, RATE_LIMIT_WINDOW_MS } from './constants.js'
import type { RateShare } from './JaymillRateShare.js'

const MS_PER_SECOND = 1_000

/** What a host reports of the rate limit of an endpoint. */
export interface ReportedRateLimit {
  readonly endpointId: string
  /** Requests per second that the endpoint accepts from all hosts together; `undefined` when it has lifted its limit. */
  readonly perS: number | undefined
  /** Time since the response that said so, in milliseconds. */
  readonly ageMs: number
  /** Requests that the reporting host has sent within the window of the limit. */
  readonly sent: number
}

interface LimitRecord {
  perS: number | undefined
  /** Monotonic time of the response that said so, in milliseconds. */
  heardMs: number
  /** What the other hosts have reported to have sent, by host. */
  readonly others: Map<string, OthersUse>
}

/** Requests that another host has sent within the window. */
interface OthersUse {
  readonly sent: number
  /** Monotonic time of its report, in milliseconds. */
  readonly atMs: number
}

/** Number of requests within a window, in milliseconds. */
interface Allowance {
  readonly requests: number
  readonly windowMs: number
}

/**
 * Rates that endpoints accept from all hosts together, as they name them in their responses. Hosts share what they have heard, of
 * which the newest counts, and how much each has sent lately.
 */
export class EndpointRateLimits {
  private readonly _records = new Map<string, LimitRecord>()
  /** Monotonic times of the latest requests of this host by endpoint, oldest first, in milliseconds. */
  private readonly _sentMs = new Map<string, readonly number[]>()

  /**
   * Records what a response of an endpoint says.
   *
   * @param endpointId - The endpoint.
   * @param perS - Requests per second that it accepts; `undefined` when it names no limit.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the limit has changed.
   */
  heard (endpointId: string, perS: number | undefined, nowMs: number): boolean {
    return this._update(endpointId, perS, nowMs)
  }

  /**
   * Records a request that this host sends, or for which it has reserved capacity.
   *
   * @param endpointId - The endpoint.
   * @param nowMs - Monotonic time in milliseconds.
   */
  recordSent (endpointId: string, nowMs: number): void {
    const recent = (this._sentMs.get(endpointId) ?? []).filter(atMs => nowMs - atMs < MS_PER_SECOND / RATE_LIMIT_MIN_PER_S)
    this._sentMs.set(endpointId, [...recent, nowMs])
  }

  /**
   * Withdraws the last record of a request that has not been sent after all.
   *
   * @param endpointId - The endpoint.
   */
  withdrawSent (endpointId: string): void {
    this._sentMs.set(endpointId, (this._sentMs.get(endpointId) ?? []).slice(0, -1))
  }

  /**
   * @param endpointId - An endpoint.
   * @returns Requests per second that it accepts from all hosts together; `undefined` without a limit.
   */
  limitOf (endpointId: string): number | undefined {
    return this._records.get(endpointId)?.perS
  }

  /**
   * Tells when this host may send the next request to an endpoint.
   *
   * @param endpointId - The endpoint.
   * @param share - Divides the rate among the hosts.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time until then, in milliseconds: 0 now, infinite when other hosts use the endpoint.
   */
  untilAllowedMs (endpointId: string, share: RateShare, nowMs: number): number {
    const record = this._records.get(endpointId)
    if (record?.perS === undefined) return 0
    const { perS, countOthers } = share.of(endpointId, Math.max(RATE_LIMIT_MIN_PER_S, record.perS))
    if (perS === 0) return Number.POSITIVE_INFINITY
    const { requests, windowMs } = allowanceOf(perS)
    const own = this._sentWithin(endpointId, windowMs, nowMs)
    const recent = countOthers ? [...record.others.values()].filter(({ atMs }) => nowMs - atMs < windowMs) : []
    const others = recent.reduce((sum, { sent }) => sum + sent, 0)
    const excess = own.length + others + 1 - requests
    if (excess <= 0) return 0
    const freed = own[Math.min(excess, own.length) - 1]
    return freed === undefined ? windowMs / requests : Math.max(1, freed + windowMs - nowMs)
  }

  /**
   * @param max - Maximum number of limits.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The limits to report to other hosts, those heard of last.
   */
  report (max: number, nowMs: number): readonly ReportedRateLimit[] {
    this._expire(nowMs)
    return [...this._records]
      .sort(([, a], [, b]) => b.heardMs - a.heardMs)
      .slice(0, max)
      .map(([endpointId, { perS, heardMs }]) => ({
        endpointId,
        perS,
        ageMs: Math.max(0, nowMs - heardMs),
        sent: perS === undefined ? 0 : this._sentWithin(endpointId, allowanceOf(perS).windowMs, nowMs).length
      }))
  }

  /**
   * Merges the report of another host.
   *
   * @param host - The other host.
   * @param limits - Limits that it reports.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Limits that are news to this host.
   */
  merge (host: string, limits: readonly ReportedRateLimit[], nowMs: number): readonly ReportedRateLimit[] {
    const news = limits.filter(({ endpointId, perS, ageMs }) => {
      const heardMs = nowMs - ageMs
      return heardMs > (this._records.get(endpointId)?.heardMs ?? Number.NEGATIVE_INFINITY) && this._update(endpointId, perS, heardMs)
    })
    limits.forEach(({ endpointId, sent }) => this._records.get(endpointId)?.others.set(host, { sent, atMs: nowMs }))
    return news
  }

  /**
   * Drops what a host has reported that is no longer heard of.
   *
   * @param host - The other host.
   */
  forgetHost (host: string): void {
    this._records.forEach(({ others }) => others.delete(host))
  }

  /**
   * Removes all that is known of an endpoint that is gone.
   *
   * @param endpointId - The endpoint.
   */
  forget (endpointId: string): void {
    this._records.delete(endpointId)
    this._sentMs.delete(endpointId)
  }

  private _update (endpointId: string, perS: number | undefined, heardMs: number): boolean {
    const record = this._records.get(endpointId)
    if (record === undefined && perS === undefined) return false
    const hasChanged = record?.perS !== perS
    if (record === undefined) this._records.set(endpointId, { perS, heardMs, others: new Map() })
    else Object.assign(record, { perS, heardMs })
    return hasChanged
  }

  private _sentWithin (endpointId: string, windowMs: number, nowMs: number): readonly number[] {
    return (this._sentMs.get(endpointId) ?? []).filter(atMs => nowMs - atMs < windowMs)
  }

  private _expire (nowMs: number): void {
    const expired = [...this._records].filter(([, { heardMs }]) => nowMs - heardMs > RATE_LIMIT_TTL_MS)
    expired.forEach(([endpointId]) => this._records.delete(endpointId))
  }
}

/** The largest whole number of requests within the usual window, or one request within a longer one. */
function allowanceOf (perS: number): Allowance {
  const rate = Math.max(RATE_LIMIT_MIN_PER_S, perS)
  const requests = Math.max(1, Math.floor(rate * RATE_LIMIT_WINDOW_MS / MS_PER_SECOND))
  return { requests, windowMs: requests * MS_PER_SECOND / rate }
}
