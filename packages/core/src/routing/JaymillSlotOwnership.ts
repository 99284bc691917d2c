import { HostEntry, HostList, HostState } from '../fleet/JaymillHostList.js'
import { RendezvousIndex } from '../ownership/JaymillRendezvous.js'
import { BACKUP_OWNER_MIN_SLOTS, BACKUP_OWNER_SHARE, SAME_ZONE_WEIGHT } from './JaymillRoutingConstants.js'

/** Hosts that may make reservations on one endpoint. */
export interface EndpointOwners {
  /** Makes reservations for all slots except the backup owner's share. */
  readonly owner: HostEntry | undefined
  /** Makes reservations within its small share while the owner is unreachable; in another availability zone if there is one. */
  readonly backupOwner: HostEntry | undefined
}

interface HostNode {
  readonly id: string
  readonly weight: number
  readonly host: HostEntry
}

/** Properties of an endpoint that determine its owners. */
export interface PlacedEndpoint {
  readonly id: string
  readonly zone: string
}

/** Assigns endpoints to the hosts of one list; computes the owners of each endpoint once. */
class OwnerPlacement {
  private readonly _index: RendezvousIndex<HostNode>
  private readonly _owners = new Map<string, EndpointOwners>()

  constructor (list: HostList) {
    const live = list.hosts.filter(host => host.state === HostState.Live)
    this._index = new RendezvousIndex(live.map(host => ({ id: host.id, weight: 1, host })))
  }

  of (endpoint: PlacedEndpoint): EndpointOwners {
    const key = `${endpoint.zone}/${endpoint.id}`
    const owners = this._owners.get(key) ?? this._place(endpoint)
    this._owners.set(key, owners)
    return owners
  }

  private _place (endpoint: PlacedEndpoint): EndpointOwners {
    const scores = this._index.scores(endpoint.id, ({ host }) => host.zone === endpoint.zone ? SAME_ZONE_WEIGHT : 1)
    const owner = this._index.best(scores, () => true)?.host
    const inOtherZone = this._index.best(scores, ({ host }) => host.zone !== owner?.zone)?.host
    return { owner, backupOwner: inOtherZone ?? this._index.best(scores, ({ host }) => host !== owner)?.host }
  }
}

const placements = new WeakMap<HostList, OwnerPlacement>()

function placementOf (list: HostList): OwnerPlacement {
  const placement = placements.get(list) ?? new OwnerPlacement(list)
  placements.set(list, placement)
  return placement
}

/**
 * Chooses the owners of an endpoint by weighted rendezvous hashing over the published host list.
 *
 * @param endpoint - Id and availability zone.
 * @param list - Published list; hosts that are leaving own nothing.
 * @returns Owner and backup owner; both `undefined` without live hosts.
 */
export function endpointOwners (endpoint: PlacedEndpoint, list: HostList): EndpointOwners {
  return placementOf(list).of(endpoint)
}

/**
 * Returns the slots of an endpoint that only its backup owner may reserve.
 *
 * @param slots - Slots of the endpoint.
 * @returns Size of the backup owner's share.
 */
export function backupOwnerSlots (slots: number): number {
  return slots < BACKUP_OWNER_MIN_SLOTS ? 0 : Math.max(1, Math.floor(slots * BACKUP_OWNER_SHARE))
}

const NO_OWNERS: EndpointOwners = { owner: undefined, backupOwner: undefined }

/** Owners of all endpoints under one published list, computed once for each list. */
export class SlotOwnership {
  private readonly _owners: ReadonlyMap<string, EndpointOwners>

  /**
   * @param endpoints - Every endpoint of the fleet.
   * @param list - Published host list.
   */
  constructor (endpoints: readonly PlacedEndpoint[], list: HostList) {
    this._owners = new Map(endpoints.map(endpoint => [endpoint.id, endpointOwners(endpoint, list)]))
  }

  /**
   * @param endpointId - Endpoint to look up.
   * @returns Its owner and backup owner.
   */
  of (endpointId: string): EndpointOwners {
    return this._owners.get(endpointId) ?? NO_OWNERS
  }
}
