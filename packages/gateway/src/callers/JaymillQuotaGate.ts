import { ErrorKind, JaymillError, quotaUnits, RanState, RequestError, type AccountQuotas, type ClientAccount, type Clock } from '@jaymill/core'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import type { GatewayMetrics } from '../metrics/JaymillGatewayMetrics.js'
import type { RequestMetadata } from '../ports/JaymillWireDialect.js'

/** What the gate decides by, and whom it tells. */
export interface QuotaGateContext {
  readonly quotas: AccountQuotas
  readonly clock: Clock
  readonly log: GatewayLog
  readonly metrics: GatewayMetrics
  /** Reports the use of quotas to other hosts as soon as the rate limit allows it. */
  readonly scheduleReport: () => void
}

/** Units of its account's quota that a request has taken. */
export interface QuotaCharge {
  /**
   * Gives the units back if the request has certainly not run.
   *
   * @param err - Why the request has failed.
   */
  readonly refused: (err: unknown) => void
}

const NO_CHARGE: QuotaCharge = { refused: () => {} }

/** Errors that leave open whether a request has run, even if they do not say so. */
const UNCERTAIN_KINDS = [ErrorKind.CallerGone, ErrorKind.Deadline, ErrorKind.Invariant]

/** Refuses requests of accounts that are over their quota. */
export class QuotaGate {
  private readonly _context: QuotaGateContext

  /**
   * @param context - What the gate decides by, and whom it tells.
   */
  constructor (context: QuotaGateContext) {
    this._context = context
  }

  /**
   * Takes the units of a request from the quota of its account.
   *
   * @param account - Account of the caller, if any.
   * @param metadata - Metadata of the request.
   * @returns The charge.
   * @throws RequestError of kind `AccountLimit` when the account is over its quota.
   */
  enter (account: ClientAccount | undefined, { requestId, prompt }: RequestMetadata): QuotaCharge {
    if (account?.quota === undefined) return NO_CHARGE
    const { quotas, clock, log, metrics, scheduleReport } = this._context
    const { name, quota } = account
    const units = quotaUnits(quota, prompt === undefined ? undefined : prompt.promptTokens + prompt.maxOutputTokens)
    const { admitted, retryAfterMs, ownDemandPerS, demandPerS, level } = quotas.take(name, units, clock.nowMs())
    scheduleReport()
    metrics.recordQuotaUnits(admitted, units)
    if (admitted) return { refused: err => { if (hasNotRun(err)) quotas.giveBack(name, units, clock.nowMs()) } }
    log.request(requestId ?? '', 'over quota', {
      account: name,
      units,
      unit: quota.unit,
      ratePerS: quota.ratePerS,
      hostDemandPerS: Math.round(ownDemandPerS),
      demandPerS: Math.round(demandPerS),
      unitsLeft: Math.round(level),
      retryAfterMs: Math.round(retryAfterMs)
    })
    throw new RequestError(ErrorKind.AccountLimit, 'the account is over its quota', { retryAfterMs })
  }
}

function hasNotRun (err: unknown): boolean {
  return err instanceof JaymillError && err.ran === RanState.No && !UNCERTAIN_KINDS.includes(err.kind)
}
