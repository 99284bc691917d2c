import { ErrorKind, RequestError, type ClientAccount, type GatewayRoute } from '@jaymill/core'
import type { FleetState } from '../fleet/JaymillFleetState.js'
import { NOT_READY_RETRY_AFTER_MS } from './constants.js'
import type { ForwardedMetadata } from './JaymillForwardedRequest.js'
import type { GatewayRequest } from './JaymillGatewayRequest.js'

/**
 * Determines the account of a caller. On a public route, an unknown key is ignored and a known one counts for its account.
 *
 * @param state - State of this host; its configuration applies to the request.
 * @param route - Route of the request.
 * @param key - Key of the caller; `undefined` if it sent none.
 * @returns The account; `undefined` if the configuration has no accounts, or on a public route.
 * @throws RequestError of kind `Unauthorized` when the key is missing or unknown.
 */
export function accountOfCaller ({ accounts }: FleetState, { isPublic }: GatewayRoute, key: string | undefined): ClientAccount | undefined {
  const account = accounts?.byKey(key)
  if (accounts === undefined || account !== undefined || isPublic === true) return account
  throw new RequestError(ErrorKind.Unauthorized, key === undefined ? 'the request has no key' : 'the key of the request is unknown')
}

/**
 * Determines the account of a request that another host forwards. Hosts don't send keys to each other: the other host has checked the
 * key by its own configuration. When this host has a newer one and can't tell that the key is still valid, it takes the request as
 * little as one with an older configuration does; the other host learns of the newer one and checks the key again.
 *
 * @param state - State of this host.
 * @param route - Route of the request.
 * @param metadata - Name of the account, and version of the configuration of the other host.
 * @returns The account; `undefined` if the configuration has no accounts, or on a public route.
 * @throws RequestError of kind `NotReady` when the account can't be confirmed.
 */
export function accountOfForwarded ({ accounts }: FleetState, { isPublic }: GatewayRoute, { account: name, configVersion }: ForwardedMetadata): ClientAccount | undefined {
  const account = name === undefined ? undefined : accounts?.confirm(name, configVersion)
  if (accounts === undefined || account !== undefined || isPublic === true) return account
  throw unconfirmedError()
}

/**
 * Checks the account of a request again when another configuration has taken effect since. The request must not have run.
 *
 * @param state - State of this host.
 * @param request - The request.
 * @throws RequestError of kind `Unauthorized` when the key was removed, or `NotReady` for a request of another host when it may have been.
 */
export function checkAccount ({ accounts, version }: FleetState, request: GatewayRequest): void {
  const { account, route, metadata, fromPeer } = request
  if (request.version === version || account === undefined || accounts === undefined || route.isPublic === true) return
  const current = fromPeer ? accounts.confirm(account.name, request.version) : accounts.byKey(metadata.accountKey)
  if (current?.name === account.name) return
  throw fromPeer ? unconfirmedError() : new RequestError(ErrorKind.Unauthorized, 'the key was removed before the request ran')
}

function unconfirmedError (): RequestError {
  return new RequestError(ErrorKind.NotReady, 'the account of the request can not be confirmed', { retryAfterMs: NOT_READY_RETRY_AFTER_MS })
}
