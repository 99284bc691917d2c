import type { DemoFleet } from './JaymillDemoFleet.js'

/** Outcome of one scenario. */
export interface ScenarioResult {
  readonly ok: boolean
  /** What each caller received. */
  readonly lines: readonly string[]
}

/** One part of the demo that checks a promise. */
export abstract class DemoScenario {
  /** Name that is printed. */
  abstract readonly name: string

  /**
   * Plays the scenario.
   *
   * @param fleet - Running fleet.
   * @returns What was seen.
   */
  abstract run (fleet: DemoFleet): Promise<ScenarioResult>
}
