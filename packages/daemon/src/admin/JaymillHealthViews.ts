import { ErrorKind, isQuarantined, RequestError, Suspect } from '@jaymill/core'
import type { HostContext } from '../JaymillHostContext.js'

/**
 * Shows the health of each endpoint and its share of work.
 *
 * @param ctx - Shared components of the host.
 * @returns Endpoint health by pool.
 */
export function healthView (ctx: HostContext): object {
  return { pools: ctx.fleet().pools.map(({ id }) => ({ id, endpoints: [...ctx.health.pool(id).values()] })) }
}

/**
 * Lists requests that are suspected of crashing endpoints.
 *
 * @param ctx - Shared components of the host.
 * @returns Suspects with the endpoint crashes recorded for each.
 */
export function quarantineView (ctx: HostContext): object {
  const nowMs = ctx.clock.nowMs()
  return { suspects: ctx.health.quarantine.list(nowMs).map(suspect => suspectView(suspect, nowMs)) }
}

/**
 * Clears a suspect request.
 *
 * @param ctx - Shared components of the host.
 * @param fingerprint - Fingerprint of the request.
 * @returns Confirmation that it was cleared.
 * @throws RequestError of kind `NotFound` when it is not suspect.
 */
export function clearSuspect (ctx: HostContext, fingerprint: string): object {
  const cleared = ctx.health.quarantine.clear(fingerprint, ctx.clock.nowMs())
  if (!cleared) throw new RequestError(ErrorKind.NotFound, `request ${fingerprint} is not suspect`)
  return { cleared }
}

function suspectView (suspect: Suspect, nowMs: number): object {
  const deaths = suspect.crashes.map(({ endpointId, atMs, alone }) => ({ endpointId, ageMs: nowMs - atMs, alone }))
  return { fingerprint: suspect.fingerprint, refused: isQuarantined(suspect), deaths }
}
