import type { Clock, EndpointRecord, RunKeys } from '@jaymill/core'
import { isReachable } from '../endpoints/JaymillReachability.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { MAX_LOGGED_PARTS, RUN_START_MS } from './constants.js'
import type { TrackedRun } from './JaymillCrashGuard.js'

/** Crash of an endpoint, with the runs that were starting there. */
export interface DetectedCrash {
  /** Identifies the process of the endpoint that crashed. */
  readonly id: string
  readonly runs: readonly RunKeys[]
}

/**
 * Detects endpoints that have crashed: a response broke off, and the endpoint accepts no connection. A request that crashes
 * its endpoint does so when its response begins, so only the runs that were starting are reported with the crash.
 */
export class CrashDetector {
  private readonly _clock: Clock
  private readonly _log: GatewayLog
  private readonly _onCrash: (crash: DetectedCrash) => void
  /** Checks in progress, by the process of the endpoint. */
  private readonly _checks = new Map<string, Promise<boolean>>()

  /**
   * @param context - Clock and log of the host.
   * @param onCrash - Called for each run that was starting at an endpoint that has crashed.
   */
  constructor ({ clock, log }: { readonly clock: Clock, readonly log: GatewayLog }, onCrash: (crash: DetectedCrash) => void) {
    this._clock = clock
    this._log = log
    this._onCrash = onCrash
  }

  /**
   * @param run - A run.
   * @returns Whether its response has begun so recently, or not at all, that the run may be the cause of a crash now.
   */
  isStarting ({ firstEventMs }: TrackedRun): boolean {
    return firstEventMs === undefined || this._clock.nowMs() - firstEventMs < RUN_START_MS
  }

  /**
   * Checks the endpoint of a run whose response broke off. Runs at the same endpoint share one check.
   *
   * @param run - The run.
   */
  brokeOff (run: TrackedRun): void {
    this._check(run).catch((err: Error) => this._log.warn('endpoint not checked', { endpoint: run.endpoint.id, reason: err.message }))
  }

  private async _check (run: TrackedRun): Promise<void> {
    const { endpoint, keys } = run
    const starting = this.isStarting(run)
    const id = processIdOf(endpoint)
    if (await this._isReachable(id, endpoint)) return
    this._log.stateChange('endpoint crashed', { endpoint: endpoint.id, starting, parts: starting ? keys.parts.slice(0, MAX_LOGGED_PARTS).join(' ') : undefined })
    if (starting) this._onCrash({ id, runs: [keys] })
  }

  private async _isReachable (id: string, { address }: EndpointRecord): Promise<boolean> {
    const running = this._checks.get(id)
    if (running !== undefined) return await running
    const check = isReachable(address).finally(() => this._checks.delete(id))
    this._checks.set(id, check)
    return await check
  }
}

function processIdOf ({ id, bornMs }: EndpointRecord): string {
  return `${id}@${bornMs ?? ''}`
}
