import { createConfigSource, SystemSleeper } from '@jaymill/adapters'
import type { ConfigSource, HostList } from '@jaymill/core'
import { PlatformKind, readSecret, type SecretReader } from '@jaymill/settings'
import type { HostContext } from '../JaymillHostContext.js'

type SourceContext = Pick<HostContext, 'settings' | 'clock' | 'random' | 'log' | 'metrics'>

/**
 * Creates the configuration source of a host; failed reads are logged and counted.
 *
 * @param ctx - Shared components of the host.
 * @param secrets - Reads the token for the source.
 * @param hosts - Returns the active host list; `undefined` before the first.
 * @returns The configuration source.
 */
export function createHostConfigSource (
  ctx: SourceContext, secrets: SecretReader, hosts: () => HostList | undefined
): ConfigSource {
  const { platform } = ctx.settings
  const tokenSource = platform.kind === PlatformKind.Http ? platform.token : undefined
  return createConfigSource(platform, {
    clock: ctx.clock,
    random: ctx.random,
    sleeper: new SystemSleeper(),
    hostCount: () => hosts()?.hosts.length ?? 0,
    ...(tokenSource === undefined ? {} : { token: readSecret(tokenSource, 'platform.token', secrets) }),
    onFailure: err => {
      ctx.metrics.countSourceFailure(err.failure)
      ctx.log.warn('platform read failed', { failure: err.failure, err })
    }
  })
}
