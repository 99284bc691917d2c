import type { CrashObservation, EndpointRecord } from '@jaymill/core'
import { isReachable } from '../endpoints/JaymillReachability.js'
import type { GatewayLog } from '../logging/JaymillGatewayLog.js'
import { MAX_LOGGED_PARTS, RUN_START_MS } from './constants.js'
import type { TrackedRun } from './JaymillTrackedRun.js'

/**
 * Detects endpoints that have crashed: a response broke off, and the endpoint accepts no connection. A request that crashes
 * its endpoint does so when its response begins, so only the runs that were starting are reported with the crash.
 */
export class CrashDetector {
  private readonly _log: GatewayLog
  private readonly _onCrash: (crash: CrashObservation) => void
  /** Checks in progress, by the process of the endpoint. */
  private readonly _checks = new Map<string, Promise<boolean>>()

  /**
   * @param log - Log of the host.
   * @param onCrash - Called for each run that was starting at an endpoint that has crashed.
   */
  constructor (log: GatewayLog, onCrash: (crash: CrashObservation) => void) {
    this._log = log
    this._onCrash = onCrash
  }

  /**
   * @param run - A run.
   * @returns Whether so few events of its response have arrived, or none, that the run may be the cause of a crash.
   */
  isStarting ({ firstEventMs, lastEventMs }: TrackedRun): boolean {
    return firstEventMs === undefined || lastEventMs === undefined || lastEventMs - firstEventMs < RUN_START_MS
  }

  /**
   * Checks the endpoint of a run whose response has ended, perhaps in a crash. Runs at the same endpoint share one check.
   *
   * @param run - The run.
   * @returns Whether the endpoint accepts no connection.
   */
  async hasCrashed (run: TrackedRun): Promise<boolean> {
    const { endpoint, keys } = run
    const starting = this.isStarting(run)
    const id = processIdOf(endpoint)
    if (await this._isReachable(id, endpoint)) return false
    this._log.stateChange('endpoint crashed', { endpoint: endpoint.id, starting, parts: starting ? keys.parts.slice(0, MAX_LOGGED_PARTS).join(' ') : undefined })
    if (starting) this._onCrash({ id, runs: [keys] })
    return true
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
