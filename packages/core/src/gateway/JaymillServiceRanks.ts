import type { GatewayConfig } from './JaymillGatewayConfig.js'

/** Rank of a request. */
export interface RequestRank {
  /** That of its account, or else of its route; 0 is the most urgent. */
  readonly rank: number
  /** That of its route, which counts among requests of the same rank. */
  readonly routeRank: number
}

const known = new WeakMap<GatewayConfig, Map<string, readonly RequestRank[]>>()

/**
 * Determines the ranks that requests of a service can have, from the routes that lead to it and the accounts.
 *
 * @param config - A configuration.
 * @param service - Name of the service.
 * @returns The different ranks, the most urgent first.
 */
export function serviceRanks (config: GatewayConfig, service: string): readonly RequestRank[] {
  const ranks = known.get(config) ?? new Map<string, readonly RequestRank[]>()
  known.set(config, ranks)
  const cached = ranks.get(service) ?? ranksOf(config, service)
  ranks.set(service, cached)
  return cached
}

/**
 * @param ranks - Ranks that requests of a service can have, the most urgent first.
 * @param own - Rank of a request.
 * @returns Number of ranks that are more urgent.
 */
export function urgencyLevel (ranks: readonly RequestRank[], own: RequestRank): number {
  return ranks.filter(other => compareRanks(other, own) < 0).length
}

function ranksOf ({ routes, accounts = [] }: GatewayConfig, service: string): readonly RequestRank[] {
  const accountRanks = [...new Set(accounts.map(({ priority }) => priority))]
  const all = routes
    .filter(({ targets }) => targets.some(target => target.service === service))
    .flatMap(({ priority, isPublic }) => {
      const withoutAccount = isPublic === true || accounts.length === 0 ? [undefined] : []
      return [...withoutAccount, ...accountRanks].map(rank => ({ rank: rank ?? priority, routeRank: priority }))
    })
    .sort(compareRanks)
  return all.filter((rank, i) => all[i - 1] === undefined || compareRanks(all[i - 1] ?? rank, rank) < 0)
}

function compareRanks (a: RequestRank, b: RequestRank): number {
  return a.rank - b.rank || a.routeRank - b.routeRank
}
