import { createPlatformReader, SystemSleeper } from '@jaymill/adapters'
import type { HostList, PlatformReader } from '@jaymill/core'
import { PlatformKind, readSecret, type SecretReader } from '@jaymill/settings'
import type { HostContext } from '../JaymillHostContext.js'

type PlatformContext = Pick<HostContext, 'settings' | 'clock' | 'random' | 'log' | 'metrics'>

/**
 * Creates the platform reader of a host; failed reads are logged and counted.
 *
 * @param ctx - Shared parts of the host.
 * @param secrets - Access to the token of the platform.
 * @param hosts - Host list in force; `undefined` before the first.
 * @returns The reader.
 */
export function createHostPlatform (
  ctx: PlatformContext, secrets: SecretReader, hosts: () => HostList | undefined
): PlatformReader {
  const { platform } = ctx.settings
  const source = platform.kind === PlatformKind.Http ? platform.token : undefined
  return createPlatformReader(platform, {
    clock: ctx.clock,
    random: ctx.random,
    sleeper: new SystemSleeper(),
    hostCount: () => hosts()?.hosts.length ?? 0,
    ...(source === undefined ? {} : { token: readSecret(source, 'platform.token', secrets) }),
    onFailure: err => {
      ctx.metrics.countPlatformFailure(err.failure)
      ctx.log.warn('platform read failed', { failure: err.failure, err })
    }
  })
}
