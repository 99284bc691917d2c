import type { RetryCharge } from '@jaymill/core'
import type { GatewayRequest } from '../callers/JaymillGatewayRequest.js'
import { PREFILL_CAUTION_MS } from './constants.js'
import { recordRetry, RetriedCall, type RetryContext } from './JaymillRetryRecord.js'

/** What became of a prefill call, as it affects the retry budget. */
export enum PrefillOutcome {
  /** The engine has taken the call: it has prefilled the prompt, or would have, had the request not been aborted. */
  Accepted = 'accepted',
  /** The call has reached the engine in vain. */
  Failed = 'failed',
  /** No connection could be made. */
  Unsent = 'unsent'
}

/** A prefill call that may be made. */
export interface PrefillAttempt {
  /**
   * Settles the charge of the call.
   *
   * @param outcome - What became of the call.
   */
  readonly settle: (outcome: PrefillOutcome) => void
}

/**
 * Charges prefill calls to the retry budget. The first one of a request that an engine accepts does not count; one that fails does,
 * though nobody can know before. While prefills of a service fail, one retry is therefore held back for each call.
 */
export class PrefillRetries {
  private readonly _context: RetryContext
  private readonly _failedMs = new Map<string, number>()

  /**
   * @param context - Components of the host.
   */
  constructor (context: RetryContext) {
    this._context = context
  }

  /**
   * Asks for a prefill call.
   *
   * @param request - The request.
   * @param counts - Whether the call counts even if it is accepted.
   * @returns The call, or `undefined` when the budget does not allow it.
   */
  begin (request: GatewayRequest, counts: boolean): PrefillAttempt | undefined {
    const { budget, hostCount, clock } = this._context
    const service = request.service.name
    const nowMs = clock.nowMs()
    const isRisky = nowMs - (this._failedMs.get(service) ?? Number.NEGATIVE_INFINITY) < PREFILL_CAUTION_MS
    if (!counts && !isRisky) return { settle: outcome => this._settle(request, outcome, undefined, false) }
    const charge = budget.tryCharge(service, hostCount(), nowMs)
    if (charge === undefined) {
      recordRetry(this._context, request, RetriedCall.Prefill, false)
      return undefined
    }
    return { settle: outcome => this._settle(request, outcome, charge, counts) }
  }

  private _settle (request: GatewayRequest, outcome: PrefillOutcome, charge: RetryCharge | undefined, counts: boolean): void {
    const { budget, clock } = this._context
    const service = request.service.name
    if (outcome === PrefillOutcome.Failed) this._failedMs.set(service, clock.nowMs())
    if (outcome === PrefillOutcome.Unsent || (outcome === PrefillOutcome.Accepted && !counts)) {
      charge?.refund()
      return
    }
    if (charge === undefined) budget.charge(service, clock.nowMs())
    recordRetry(this._context, request, RetriedCall.Prefill, true)
  }
}
