import { HostEntry, HostList, HostState } from '../fleet/JaymillHostList.js'
import { RendezvousIndex } from '../ownership/JaymillRendezvous.js'
import { DEPUTY_MIN_SLOTS, DEPUTY_SHARE, SAME_ZONE_WEIGHT } from './JaymillRoutingConstants.js'

/** Hosts that may grant capacity of one endpoint. */
export interface EndpointOwners {
  /** Grants all slots but the deputy's share. */
  readonly owner: HostEntry | undefined
  /** Grants its small share while the owner is silent; in another availability zone where there is one. */
  readonly deputy: HostEntry | undefined
}

interface HostNode {
  readonly id: string
  readonly weight: number
  readonly host: HostEntry
}

/** An endpoint as far as its place depends on it. */
export interface PlacedEndpoint {
  readonly id: string
  readonly zone: string
}

/** Places endpoints over the hosts of one list; each endpoint is placed once. */
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
    const elsewhere = this._index.best(scores, ({ host }) => host.zone !== owner?.zone)?.host
    return { owner, deputy: elsewhere ?? this._index.best(scores, ({ host }) => host !== owner)?.host }
  }
}

const placements = new WeakMap<HostList, OwnerPlacement>()

function placementOf (list: HostList): OwnerPlacement {
  const placement = placements.get(list) ?? new OwnerPlacement(list)
  placements.set(list, placement)
  return placement
}

/**
 * Places the grants of an endpoint by weighted rendezvous hashing over the published host list.
 *
 * @param endpoint - Id and availability zone.
 * @param list - Published list; leaving hosts own nothing.
 * @returns Owner and deputy; both `undefined` without live hosts.
 */
export function endpointOwners (endpoint: PlacedEndpoint, list: HostList): EndpointOwners {
  return placementOf(list).of(endpoint)
}

/**
 * Slots of an endpoint that only its deputy grants.
 *
 * @param slots - Slots of the endpoint.
 * @returns Size of the deputy's share.
 */
export function deputySlots (slots: number): number {
  return slots < DEPUTY_MIN_SLOTS ? 0 : Math.max(1, Math.floor(slots * DEPUTY_SHARE))
}

const NOBODY: EndpointOwners = { owner: undefined, deputy: undefined }

/** Owners of all endpoints under one published list, placed once for each list. */
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
   * @param endpointId - Endpoint to be booked.
   * @returns Its owner and deputy.
   */
  of (endpointId: string): EndpointOwners {
    return this._owners.get(endpointId) ?? NOBODY
  }
}
