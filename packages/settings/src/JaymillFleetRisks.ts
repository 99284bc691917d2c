import {
  EndpointState, type EndpointConfig, type FleetConfig, type ModelConfig, type PoolConfig, type RouteConfig
} from '@jaymill/core'

/** Kinds of risks in replacing a fleet configuration. */
export enum RiskKind {
  RevisionDoesNotRise = 'revision-does-not-rise',
  LastEndpointRemoved = 'last-endpoint-removed',
  SlotsHalved = 'slots-halved',
  EndpointNotDrained = 'endpoint-not-drained',
  EndpointMoved = 'endpoint-moved',
  FencingClaimed = 'fencing-claimed',
  RouteBecameIdempotent = 'route-became-idempotent',
  ModelRemoved = 'model-removed',
  ServiceRemoved = 'service-removed',
  AccountRemoved = 'account-removed',
  AccountKeyChanged = 'account-key-changed'
}

/** A risk that operators should review before they publish a configuration. */
export interface FleetRisk {
  readonly kind: RiskKind
  /** Id of the affected object. */
  readonly subject: string
  readonly message: string
}

const MIN_REMAINING_SLOT_SHARE = 0.5

/**
 * Finds the risks of replacing a fleet configuration.
 *
 * @param old - Active configuration.
 * @param next - Configuration to replace it.
 * @param hasChanges - Whether anything but the revision differs.
 * @returns The risks: of the revision first, then of models, services, pools, routes and accounts.
 */
export function findRisks (old: FleetConfig, next: FleetConfig, hasChanges: boolean): FleetRisk[] {
  return [
    ...revisionRisk(old, next, hasChanges),
    ...old.models.flatMap(model => modelRisks(model, old, next)),
    ...old.services.flatMap(service => serviceRisks(service.id, old, next)),
    ...old.pools.flatMap(pool => poolRisks(pool, next)),
    ...old.routes.flatMap(route => routeRisks(route, next)),
    ...accountRisks(old, next)
  ]
}

function revisionRisk (old: FleetConfig, next: FleetConfig, hasChanges: boolean): FleetRisk[] {
  if (!hasChanges || next.revision > old.revision) return []
  const message = `revision ${next.revision} is not greater than ${old.revision}; hosts reject it`
  return [{ kind: RiskKind.RevisionDoesNotRise, subject: String(next.revision), message }]
}

function modelRisks (model: ModelConfig, old: FleetConfig, next: FleetConfig): FleetRisk[] {
  const after = next.models.find(({ id }) => id === model.id)
  if (after === undefined) {
    return [{ kind: RiskKind.ModelRemoved, subject: model.id, message: `removes model ${model.id}` }]
  }
  return [
    ...lastEndpointRisk('prefill', `model ${model.id}`, [old, model.prefillPool], [next, after.prefillPool]),
    ...lastEndpointRisk('decode', `model ${model.id}`, [old, model.decodePool], [next, after.decodePool])
  ]
}

function serviceRisks (id: string, old: FleetConfig, next: FleetConfig): FleetRisk[] {
  const [before, after] = [old, next].map(fleet => fleet.services.find(service => service.id === id))
  if (before === undefined) return []
  if (after === undefined) return [{ kind: RiskKind.ServiceRemoved, subject: id, message: `removes service ${id}` }]
  return lastEndpointRisk('active', `service ${id}`, [old, before.pool], [next, after.pool])
}

function lastEndpointRisk (
  role: string, subject: string, before: readonly [FleetConfig, string], after: readonly [FleetConfig, string]
): FleetRisk[] {
  if (activeEndpoints(...before).length === 0 || activeEndpoints(...after).length > 0) return []
  return [{ kind: RiskKind.LastEndpointRemoved, subject, message: `removes the last ${role} endpoint of ${subject}` }]
}

function activeEndpoints (fleet: FleetConfig, poolId: string): readonly EndpointConfig[] {
  const endpoints = fleet.pools.find(pool => pool.id === poolId)?.endpoints ?? []
  return endpoints.filter(endpoint => endpoint.state === EndpointState.Active)
}

function poolRisks (pool: PoolConfig, next: FleetConfig): FleetRisk[] {
  const after = next.pools.find(({ id }) => id === pool.id)
  const countActiveSlots = (endpoints: readonly EndpointConfig[]) => endpoints
    .filter(endpoint => endpoint.state === EndpointState.Active)
    .reduce((sum, endpoint) => sum + endpoint.slots, 0)
  const [slotsBefore, slotsAfter] = [countActiveSlots(pool.endpoints), countActiveSlots(after?.endpoints ?? [])]
  const message = `removes more than half of the slots of pool ${pool.id} (${slotsBefore} to ${slotsAfter})`
  return [
    ...(slotsAfter < slotsBefore * MIN_REMAINING_SLOT_SHARE ? [{ kind: RiskKind.SlotsHalved, subject: pool.id, message }] : []),
    ...pool.endpoints.flatMap(endpoint => endpointRisks(endpoint, after?.endpoints ?? []))
  ]
}

function endpointRisks (endpoint: EndpointConfig, next: readonly EndpointConfig[]): FleetRisk[] {
  const after = next.find(({ id }) => id === endpoint.id)
  const risk = (kind: RiskKind, message: string) => [{ kind, subject: endpoint.id, message }]
  if (after === undefined) {
    return endpoint.state === EndpointState.Leaving
      ? []
      : risk(RiskKind.EndpointNotDrained, `removes endpoint ${endpoint.id}, which is not yet marked as leaving`)
  }
  return [
    ...(after.url === endpoint.url ? [] : risk(RiskKind.EndpointMoved, `endpoint ${endpoint.id} gets a new URL under the same id`)),
    ...(after.checksFencing && !endpoint.checksFencing
      ? risk(RiskKind.FencingClaimed, `endpoint ${endpoint.id} is now trusted to reject stale fencing tokens`)
      : [])
  ]
}

function routeRisks (route: RouteConfig, next: FleetConfig): FleetRisk[] {
  const after = next.routes.find(({ id }) => id === route.id)
  if (after === undefined || route.idempotent || !after.idempotent) return []
  const message = `route ${route.id} changes from non-idempotent to idempotent; its requests may then run twice`
  return [{ kind: RiskKind.RouteBecameIdempotent, subject: route.id, message }]
}

function accountRisks (old: FleetConfig, next: FleetConfig): FleetRisk[] {
  const nextById = new Map(next.accounts.map(account => [account.id, account]))
  return old.accounts.flatMap(({ id, keySha256 }): FleetRisk[] => {
    const after = nextById.get(id)
    if (after === undefined) return [{ kind: RiskKind.AccountRemoved, subject: id, message: `removes account ${id}` }]
    if (after.keySha256 === keySha256) return []
    return [{ kind: RiskKind.AccountKeyChanged, subject: id, message: `account ${id} gets a new key; the old one stops working` }]
  })
}
