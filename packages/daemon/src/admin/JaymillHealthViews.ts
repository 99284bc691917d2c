import { ErrorKind, isQuarantined, RequestError, Suspect } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'

/**
 * Shows how much work each endpoint should get and why.
 *
 * @param ctx - Shared parts of the host.
 * @returns Health by pool.
 */
export function healthView (ctx: HostContext): object {
  return { pools: ctx.fleet().pools.map(({ id }) => ({ id, endpoints: [...ctx.health.pool(id).values()] })) }
}

/**
 * Lists requests that are suspected of stopping endpoints.
 *
 * @param ctx - Shared parts of the host.
 * @returns Suspects with their deaths.
 */
export function quarantineView (ctx: HostContext): object {
  const nowMs = ctx.clock.nowMs()
  return { suspects: ctx.health.quarantine.list(nowMs).map(suspect => suspectView(suspect, nowMs)) }
}

/**
 * Clears a suspect.
 *
 * @param ctx - Shared parts of the host.
 * @param fingerprint - The suspect.
 * @returns That it is cleared.
 * @throws RequestError of kind `NotFound` when it is not suspect.
 */
export function clearSuspect (ctx: HostContext, fingerprint: string): object {
  const cleared = ctx.health.quarantine.clear(fingerprint, ctx.clock.nowMs())
  if (!cleared) throw new RequestError(ErrorKind.NotFound, `request ${fingerprint} is not suspect`)
  return { cleared }
}

function suspectView (suspect: Suspect, nowMs: number): object {
  const deaths = suspect.deaths.map(({ endpointId, atMs, alone }) => ({ endpointId, ageMs: nowMs - atMs, alone }))
  return { fingerprint: suspect.fingerprint, refused: isQuarantined(suspect), deaths }
}
