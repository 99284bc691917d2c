import type { CrashQuarantine, CrashReport } from '@jaymill/core'
import { CRASH_REPORT_INTERVAL_MS } from './constants.js'
import { WorkScope } from './JaymillHostMessage.js'

/**
 * Decides which messages carry the report of crashes. Messages of one scope have the same receivers. They carry it when it has
 * changed, and then at an interval, which makes up for lost messages and informs hosts that have started.
 */
export class CrashReportSchedule {
  private readonly _quarantine: CrashQuarantine
  private readonly _sentMs = new Map<WorkScope, number>()

  /**
   * @param quarantine - Evidence to report.
   */
  constructor (quarantine: CrashQuarantine) {
    this._quarantine = quarantine
  }

  /** Lets the next message of each scope carry the report. */
  changed (): void {
    this._sentMs.clear()
  }

  /**
   * @param scope - Scope of a message that is about to be sent.
   * @param toNewHost - Whether its receiver may not know anything yet.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns The report that the message has to carry, if any.
   */
  next (scope: WorkScope, toNewHost: boolean, nowMs: number): CrashReport | undefined {
    if (this._quarantine.isEmpty(nowMs)) return undefined
    const isDue = nowMs - (this._sentMs.get(scope) ?? Number.NEGATIVE_INFINITY) >= CRASH_REPORT_INTERVAL_MS
    if (!isDue && !toNewHost) return undefined
    if (!toNewHost) this._sentMs.set(scope, nowMs)
    return this._quarantine.report(nowMs)
  }
}
