import { EndpointRole, EndpointState, FleetConfig, OwnedEndpoint, PoolConfig, PoolRole } from '@jaymill/core'

const STAGE_OF_ROLE: Readonly<Record<PoolRole, EndpointRole>> = {
  [PoolRole.Prefill]: EndpointRole.Prefill,
  [PoolRole.Decode]: EndpointRole.Decode,
  [PoolRole.Both]: EndpointRole.Decode,
  [PoolRole.Service]: EndpointRole.Service
}

/**
 * Lists the endpoints of a configuration as owners need them.
 *
 * @param fleet - Configuration in force.
 * @returns Every endpoint; the pool's link is divided between its endpoints.
 */
export function ownedEndpoints (fleet: FleetConfig): readonly OwnedEndpoint[] {
  return fleet.pools.flatMap(pool => pool.endpoints.map(endpoint => ({
    id: endpoint.id,
    zone: endpoint.zone,
    role: STAGE_OF_ROLE[pool.role],
    slots: endpoint.slots,
    kvPieces: endpoint.kvPieces,
    linkBytesPerSecond: linkShare(pool),
    leaving: endpoint.state === EndpointState.Leaving
  })))
}

function linkShare (pool: PoolConfig): number {
  return pool.linkBytesPerSecond / Math.max(1, pool.endpoints.length)
}
