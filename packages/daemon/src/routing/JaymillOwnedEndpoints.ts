import { EndpointRole, EndpointState, FleetConfig, OwnedEndpoint, PoolConfig, PoolRole } from '@jaymill/core'

const ENDPOINT_ROLE_BY_POOL_ROLE: Readonly<Record<PoolRole, EndpointRole>> = {
  [PoolRole.Prefill]: EndpointRole.Prefill,
  [PoolRole.Decode]: EndpointRole.Decode,
  [PoolRole.Both]: EndpointRole.Decode,
  [PoolRole.Service]: EndpointRole.Service
}

/**
 * Lists the endpoints of a configuration with the properties that their owners need.
 *
 * @param fleet - Active configuration.
 * @returns Every endpoint; the bandwidth of a pool's KV link is divided between its endpoints.
 */
export function ownedEndpoints (fleet: FleetConfig): readonly OwnedEndpoint[] {
  return fleet.pools.flatMap(pool => pool.endpoints.map(endpoint => ({
    id: endpoint.id,
    zone: endpoint.zone,
    role: ENDPOINT_ROLE_BY_POOL_ROLE[pool.role],
    slots: endpoint.slots,
    kvPieces: endpoint.kvPieces,
    linkBytesPerSecond: linkShare(pool),
    leaving: endpoint.state === EndpointState.Leaving
  })))
}

function linkShare (pool: PoolConfig): number {
  return pool.linkBytesPerSecond / Math.max(1, pool.endpoints.length)
}
