import type { DemoFleet } from './JaymillDemoFleet.js'

/** Outcome of one scenario. */
export interface ScenarioResult {
  readonly ok: boolean
  /** Lines to print: what each caller received. */
  readonly lines: readonly string[]
}

/** One part of the demo that checks a guarantee of the router. */
export abstract class DemoScenario {
  /** Name to print. */
  abstract readonly name: string

  /**
   * Runs the scenario.
   *
   * @param fleet - Running fleet.
   * @returns Whether the guarantee held, and the lines to print.
   */
  abstract run (fleet: DemoFleet): Promise<ScenarioResult>
}
