import type { Clock, PlatformReader, Random } from '@jaymill/core'
import { PlatformKind, type PlatformSettings } from '@jaymill/settings'
import { ConsulPlatformReader } from './JaymillConsulPlatformReader.js'
import { FilePlatformReader } from './JaymillFilePlatformReader.js'
import type { PlatformFailureListener } from './JaymillPlatformError.js'
import { ReadBudget } from './JaymillReadBudget.js'
import type { Sleeper } from './JaymillSleeper.js'

/** What a platform reader needs besides its settings. */
export interface PlatformPorts {
  readonly clock: Clock
  readonly random: Random
  readonly sleeper: Sleeper
  /** Hosts in the list now; 0 before the first list. */
  readonly hostCount: () => number
  /** Token of the service, read from the place that the settings name. */
  readonly token?: string
  readonly onFailure: PlatformFailureListener
}

/**
 * Creates the reader that the settings ask for.
 *
 * @param settings - How the platform is reached.
 * @param ports - Time, randomness and reports.
 * @returns The reader.
 */
export function createPlatformReader (settings: PlatformSettings, ports: PlatformPorts): PlatformReader {
  if (settings.kind === PlatformKind.File) return new FilePlatformReader({ ...settings, ...ports })
  const budget = new ReadBudget(settings, ports.clock, ports.hostCount)
  return new ConsulPlatformReader({ ...settings, ...ports, token: ports.token, budget })
}
