import {
  QUOTA_BUSY_LEVEL, QUOTA_BUSY_SHARE, QUOTA_CONVERGENCE_MS, QUOTA_DEMAND_SMOOTH_MS, QUOTA_IDLE_SHARE, QUOTA_LEVEL_AGE_MS, QUOTA_MEMORY_MS,
  QUOTA_MIN_DEPTH_MS, QUOTA_RECENT_MS, QUOTA_SOURCE_TTL_MS
} from './constants.js'
import type { AccountQuota } from './JaymillGatewayConfig.js'
import type { QuotaShare } from './JaymillQuotaShare.js'

const MS_PER_SECOND = 1_000

/** Whose use of a quota a report contains. */
export enum QuotaScope {
  /** That of one host. */
  Host = 0,
  /** That of the hosts that report to a relay, and of the relay. */
  Zone = 1,
  /** That of all hosts. */
  Fleet = 2
}

/** Reported use of the quota of one account. */
export interface AccountUse {
  readonly account: string
  /** Units used since the sender's process began to count; 0 in reports of the whole fleet. */
  readonly used: number
  /** Units per second that callers ask for. */
  readonly demandPerS: number
  /** Units that callers have asked for lately; what a receiver counts that does not know what was used before. */
  readonly recent: number
  /** Level of the bucket as a share of its depth; absent while the sender has not counted for long. */
  readonly level?: number
}

/** Origin of a report. */
export interface QuotaReporter {
  /** Address of a host, name of an availability zone, or any name for the fleet. */
  readonly source: string
  readonly scope: QuotaScope
  /** Process that has counted; its counts are not comparable with those of another process. */
  readonly process: string
}

interface ReportedUse {
  readonly scope: QuotaScope
  readonly process: string
  readonly used: number
  readonly demandPerS: number
  readonly atMs: number
  /** Time for which this host had admitted requests until then, in milliseconds. */
  readonly openMs: number
}

/**
 * Use of the quota of one account: exact for this host, as reported for the others. Between two reports of a source its use is
 * estimated by its demand, as long as there are units left; the next report replaces the estimate, so that the count is exact in the
 * long run, also when reports are lost.
 */
export class QuotaLedger {
  private readonly _share: QuotaShare
  private readonly _windowMs: number
  private readonly _startedMs: number
  private readonly _sources = new Map<string, ReportedUse>()
  private _quota: AccountQuota
  private _part = 1
  private _level: number
  private _atMs: number
  /** Time for which requests have been admitted, in milliseconds. */
  private _openMs = 0
  /** Units that callers have asked this host for, by two exponential decays. */
  private _recent = 0
  private _latest = 0
  /** Follows the latest units by the same decay: reports are often sent right after a request, when these peak. */
  private _ownDemandPerS = 0
  private _othersDemandPerS = 0
  private _used = 0
  private _zoneUsed = 0
  private _promisedUntilMs = 0
  private _lastAskedMs: number

  /**
   * @param quota - Quota of the account.
   * @param share - Divides it among the hosts.
   * @param windowMs - Window within which the quota has to hold, in milliseconds.
   * @param nowMs - Monotonic time in milliseconds.
   */
  constructor (quota: AccountQuota, share: QuotaShare, windowMs: number, nowMs: number) {
    this._quota = quota
    this._share = share
    this._windowMs = windowMs
    this._startedMs = nowMs
    this._atMs = nowMs
    this._lastAskedMs = nowMs
    this._level = this._depth
  }

  /** Units that may be used at once, at the time of the last call; negative when the quota is overdrawn. */
  get level (): number {
    return this._level
  }

  /** Units per second that callers ask this host for, at the time of the last call. */
  get ownDemandPerS (): number {
    return this._ownDemandPerS
  }

  /** Units per second that callers ask all hosts for, as far as this host knows, at the time of the last call. */
  get demandPerS (): number {
    return this._ownDemandPerS + this._othersDemandPerS
  }

  /**
   * Applies a quota and the number of hosts.
   *
   * @param quota - Quota of the account.
   * @param part - Share of the quota that the hosts in touch with this one may use.
   * @param nowMs - Monotonic time in milliseconds.
   */
  apply (quota: AccountQuota, part: number, nowMs: number): void {
    this._advance(nowMs)
    this._quota = quota
    this._part = part
    this._level = Math.min(this._level, this._depth)
  }

  /**
   * Counts what a caller asks for, whether or not it is admitted.
   *
   * @param units - Cost of the request.
   * @param nowMs - Monotonic time in milliseconds.
   */
  ask (units: number, nowMs: number): void {
    this._advance(nowMs)
    this._lastAskedMs = nowMs
    this._recent += units
    this._latest += units
  }

  /**
   * Counts units that are used, or given back when negative.
   *
   * @param units - Number of units.
   * @param nowMs - Monotonic time in milliseconds.
   */
  use (units: number, nowMs: number): void {
    this._advance(nowMs)
    this._used += units
    this._zoneUsed += units
    this._level = Math.min(this._level - units, this._depth)
  }

  /**
   * Tells a refused caller when this host's part of the rate has covered its request and those that were refused before it.
   *
   * @param units - Cost of the request.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Time until then, in milliseconds; at most the window of the quota.
   */
  retryAfterMs (units: number, nowMs: number): number {
    this._advance(nowMs)
    const ownDemandPerS = Math.max(this._ownDemandPerS, units * MS_PER_SECOND / QUOTA_DEMAND_SMOOTH_MS)
    const ownRatePerS = this._ratePerS * ownDemandPerS / Math.max(ownDemandPerS, this.demandPerS)
    const overdraftMs = Math.max(0, -this._level) * MS_PER_SECOND / this._ratePerS
    const coveredMs = Math.max(nowMs + overdraftMs, this._promisedUntilMs) + units * MS_PER_SECOND / ownRatePerS
    this._promisedUntilMs = Math.min(nowMs + this._windowMs, coveredMs)
    return this._promisedUntilMs - nowMs
  }

  /**
   * @param account - Name of the account.
   * @param scope - Whose use to report.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The report; `undefined` when there is nothing to report.
   */
  report (account: string, scope: QuotaScope, nowMs: number): AccountUse | undefined {
    this._advance(nowMs)
    const demandPerS = scope === QuotaScope.Host ? this._ownDemandPerS : scope === QuotaScope.Zone ? this._zoneDemandPerS : this.demandPerS
    if (this._isIdle(demandPerS) && this._isIdle(this._recent)) return undefined
    const used = scope === QuotaScope.Host ? this._used : scope === QuotaScope.Zone ? this._zoneUsed : 0
    const isCounting = nowMs - this._startedMs >= QUOTA_LEVEL_AGE_MS && !this._followsFleet
    return { account, used, demandPerS, recent: this._recent, ...(isCounting ? { level: this._level / this._depth } : {}) }
  }

  /**
   * Applies the report of another host.
   *
   * @param reporter - Origin of the report.
   * @param use - Use that it reports.
   * @param nowMs - Monotonic time in milliseconds.
   */
  merge ({ source, scope, process }: QuotaReporter, use: AccountUse, nowMs: number): void {
    this._advance(nowMs)
    if (!this._share.countsOthers) return
    const isFleet = scope === QuotaScope.Fleet
    ;[...this._sources].filter(([, known]) => isFleet !== (known.scope === QuotaScope.Fleet)).forEach(([name]) => this._sources.delete(name))
    const before = this._sources.get(source)
    const sinceMs = nowMs - (before?.atMs ?? nowMs)
    const isComparable = before?.process === process || (before === undefined && scope === QuotaScope.Host)
    if (!isFleet && isComparable) this._count(scope, before, use, nowMs)
    const demandPerS = isFleet ? Math.max(0, use.demandPerS - this._ownDemandPerS) : use.demandPerS
    this._sources.set(source, { scope, process, used: use.used, demandPerS, atMs: nowMs, openMs: this._openMs })
    this._sumDemand(nowMs)
    if (use.level !== undefined) this._converge(use.level, isFleet || nowMs - this._startedMs < QUOTA_LEVEL_AGE_MS, sinceMs)
  }

  /**
   * Drops sources that no longer report.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the ledger holds nothing that a new one would not hold.
   */
  expire (nowMs: number): boolean {
    this._advance(nowMs)
    this._sumDemand(nowMs)
    return this._sources.size === 0 && nowMs - this._lastAskedMs > QUOTA_MEMORY_MS && this._level >= this._depth
  }

  /**
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the account is so close to its limit that its use should be reported often.
   */
  isBusy (nowMs: number): boolean {
    this._advance(nowMs)
    return this.demandPerS > QUOTA_BUSY_SHARE * this._ratePerS || this._level < QUOTA_BUSY_LEVEL * this._depth
  }

  private get _ratePerS (): number {
    return this._part * this._quota.ratePerS
  }

  private get _depth (): number {
    return this._part * Math.max(this._quota.burst, this._quota.ratePerS * QUOTA_MIN_DEPTH_MS / MS_PER_SECOND)
  }

  private get _zoneDemandPerS (): number {
    const hosts = this._recentSources(this._atMs).filter(({ scope }) => scope === QuotaScope.Host)
    return hosts.reduce((sum, { demandPerS }) => sum + demandPerS, this._ownDemandPerS)
  }

  /** Whether the level comes from a relay, so that it must not be reported as this host's own count. */
  private get _followsFleet (): boolean {
    return [...this._sources.values()].some(({ scope }) => scope === QuotaScope.Fleet)
  }

  private _isIdle (demandPerS: number): boolean {
    return demandPerS < QUOTA_IDLE_SHARE * this._quota.ratePerS
  }

  private _advance (nowMs: number): void {
    const ms = Math.max(0, nowMs - this._atMs)
    if (ms === 0) return
    this._atMs = nowMs
    const openMs = this._level > 0 ? ms : 0
    this._openMs += openMs
    const usedByOthers = this._othersDemandPerS * openMs / MS_PER_SECOND
    this._level = this._bounded(this._level + this._ratePerS * ms / MS_PER_SECOND - usedByOthers)
    const decay = Math.exp(-ms / QUOTA_DEMAND_SMOOTH_MS)
    this._ownDemandPerS = (this._ownDemandPerS + this._latest * ms * MS_PER_SECOND / QUOTA_DEMAND_SMOOTH_MS ** 2) * decay
    this._latest *= decay
    this._recent *= Math.exp(-ms / QUOTA_RECENT_MS)
  }

  private _bounded (level: number): number {
    const lowest = -this._ratePerS * this._windowMs / 2 / MS_PER_SECOND
    return Math.min(this._depth, Math.max(lowest, level))
  }

  /** Counts what a source has used since its last report. After a long silence, only what is recent counts. */
  private _count (scope: QuotaScope, before: ReportedUse | undefined, use: AccountUse, nowMs: number): void {
    const isSilent = before === undefined || isOutdated(before, nowMs)
    const since = use.used - (before?.used ?? 0)
    const counted = isSilent ? Math.min(since, use.recent) : since
    const estimated = isSilent ? 0 : before.demandPerS * (this._openMs - before.openMs) / MS_PER_SECOND
    if (scope === QuotaScope.Host) this._zoneUsed += counted
    this._level = this._bounded(this._level + estimated - counted)
  }

  private _converge (reportedShare: number, adopts: boolean, sinceMs: number): void {
    const weight = adopts ? 1 : 1 - Math.exp(-sinceMs / QUOTA_CONVERGENCE_MS)
    this._level = this._bounded(this._level + weight * (reportedShare * this._depth - this._level))
  }

  private _sumDemand (nowMs: number): void {
    const forgotten = [...this._sources].filter(([, { atMs }]) => nowMs - atMs > QUOTA_MEMORY_MS)
    forgotten.forEach(([name]) => this._sources.delete(name))
    this._othersDemandPerS = this._recentSources(nowMs).reduce((sum, { demandPerS }) => sum + demandPerS, 0)
  }

  private _recentSources (nowMs: number): readonly ReportedUse[] {
    return [...this._sources.values()].filter(source => !isOutdated(source, nowMs))
  }
}

function isOutdated ({ atMs }: ReportedUse, nowMs: number): boolean {
  return nowMs - atMs > QUOTA_SOURCE_TTL_MS
}
