import type { DemandShare, LoadShare } from '@jaymill/core'
import type { ReportedWork } from './JaymillHostMessage.js'

/**
 * Subtracts the work of this host from the work of the fleet.
 *
 * @param fleet - Work of all hosts, from a relay.
 * @param own - Work in the last report of this host.
 * @returns Work of the other hosts. It never gets negative, since the relay may not have received the last report yet.
 */
export function withoutOwn (fleet: ReportedWork, own: ReportedWork): ReportedWork {
  return {
    ...fleet,
    load: subtractLoad(fleet.load, own.load),
    directPrefills: subtractLoad(fleet.directPrefills, own.directPrefills),
    demand: fleet.demand.map(share => subtractDemand(share, own.demand.find(({ service }) => service === share.service)))
  }
}

function subtractLoad (total: readonly LoadShare[], own: readonly LoadShare[]): readonly LoadShare[] {
  const ownShares = new Map(own.map(share => [share.endpointId, share]))
  return total
    .map(({ endpointId, requests, tokens }) => {
      const share = ownShares.get(endpointId)
      return { endpointId, requests: Math.max(0, requests - (share?.requests ?? 0)), tokens: Math.max(0, tokens - (share?.tokens ?? 0)) }
    })
    .filter(({ requests }) => requests > 0)
}

function subtractDemand ({ service, promptRate, kvRate, waitingTokens }: DemandShare, own: DemandShare | undefined): DemandShare {
  return {
    service,
    promptRate: Math.max(0, promptRate - (own?.promptRate ?? 0)),
    kvRate: Math.max(0, kvRate - (own?.kvRate ?? 0)),
    waitingTokens: Math.max(0, waitingTokens - (own?.waitingTokens ?? 0))
  }
}
