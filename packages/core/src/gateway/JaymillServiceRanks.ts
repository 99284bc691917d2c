import type { GatewayConfig } from './JaymillGatewayConfig.js'

const known = new WeakMap<GatewayConfig, Map<string, readonly number[]>>()

/**
 * Determines the ranks that requests of a service can have, from the routes that lead to it and the accounts.
 *
 * @param config - A configuration.
 * @param service - Name of the service.
 * @returns The different ranks, the most urgent first.
 */
export function serviceRanks (config: GatewayConfig, service: string): readonly number[] {
  const ranks = known.get(config) ?? new Map<string, readonly number[]>()
  known.set(config, ranks)
  const cached = ranks.get(service) ?? ranksOf(config, service)
  ranks.set(service, cached)
  return cached
}

function ranksOf ({ routes, accounts = [] }: GatewayConfig, service: string): readonly number[] {
  const own = routes.filter(({ targets }) => targets.some(target => target.service === service))
  const withoutRank = accounts.length === 0 || accounts.some(({ priority }) => priority === undefined)
  const ofAccounts = own.some(({ isPublic }) => isPublic !== true) ? accounts.flatMap(({ priority }) => priority ?? []) : []
  const ofRoutes = own.filter(({ isPublic }) => withoutRank || isPublic === true).map(({ priority }) => priority)
  return [...new Set([...ofRoutes, ...ofAccounts])].sort((a, b) => a - b)
}
