import type { Clock, ConfigSource, Random } from '@jaymill/core'
import { PlatformKind, type PlatformSettings } from '@jaymill/settings'
import type { ConfigSourceFailureListener } from './JaymillConfigSourceError.js'
import { ConsulConfigSource } from './JaymillConsulConfigSource.js'
import { FileConfigSource } from './JaymillFileConfigSource.js'
import { ReadRateLimiter } from './JaymillReadRateLimiter.js'
import type { Sleeper } from './JaymillSleeper.js'

/** Dependencies of a configuration source besides its settings. */
export interface ConfigSourcePorts {
  readonly clock: Clock
  readonly random: Random
  readonly sleeper: Sleeper
  /** Returns the number of hosts in the current list; 0 before the first list. */
  readonly hostCount: () => number
  /** Token for the configuration source, read from the location that the settings name. */
  readonly token?: string
  readonly onFailure: ConfigSourceFailureListener
}

/**
 * Creates the configuration source that the settings select.
 *
 * @param settings - Kind and address of the configuration source.
 * @param ports - Clock, randomness, sleeper and failure listener.
 * @returns The configuration source.
 */
export function createConfigSource (settings: PlatformSettings, ports: ConfigSourcePorts): ConfigSource {
  if (settings.kind === PlatformKind.File) return new FileConfigSource({ ...settings, ...ports })
  const rateLimiter = new ReadRateLimiter(settings, ports.clock, ports.hostCount)
  return new ConsulConfigSource({ ...settings, ...ports, token: ports.token, rateLimiter })
}
