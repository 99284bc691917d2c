import { HostEntry, HostList, HostState } from '../fleet/JaymillHostList.js'
import { rendezvousOrder } from '../ownership/JaymillRendezvous.js'
import { DEPUTY_MIN_SLOTS, DEPUTY_SHARE, SAME_ZONE_WEIGHT } from './JaymillRoutingConstants.js'

/** Hosts that may grant capacity of one endpoint. */
export interface EndpointOwners {
  /** Grants all slots but the deputy's share. */
  readonly owner: HostEntry | undefined
  /** Grants its small share while the owner is silent; in another availability zone where there is one. */
  readonly deputy: HostEntry | undefined
}

/**
 * Places the grants of an endpoint by weighted rendezvous hashing over the published host list.
 *
 * @param endpoint - Id and availability zone.
 * @param list - Published list; leaving hosts own nothing.
 * @returns Owner and deputy; both `undefined` without live hosts.
 */
export function endpointOwners (endpoint: { readonly id: string, readonly zone: string }, list: HostList): EndpointOwners {
  const nodes = list.hosts
    .filter(host => host.state === HostState.Live)
    .map(host => ({ id: host.id, host, weight: host.zone === endpoint.zone ? SAME_ZONE_WEIGHT : 1 }))
  const [owner, ...others] = rendezvousOrder(endpoint.id, nodes).map(node => node.host)
  return { owner, deputy: others.find(host => host.zone !== owner?.zone) ?? others[0] }
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
  constructor (endpoints: readonly { readonly id: string, readonly zone: string }[], list: HostList) {
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
