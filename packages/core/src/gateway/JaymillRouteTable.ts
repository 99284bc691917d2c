import type { Random } from '../ports/JaymillRandom.js'
import type { GatewayConfig, GatewayRoute, GatewayService, RouteTarget } from './JaymillGatewayConfig.js'

/** Finds the route and the service of a request in one configuration. */
export class RouteTable {
  readonly version: number
  private readonly _routes = new Map<string, Map<string, GatewayRoute>>()
  private readonly _services: ReadonlyMap<string, GatewayService>

  /**
   * @param config - Active configuration.
   */
  constructor (config: GatewayConfig) {
    this.version = config.version
    this._services = new Map(config.services.map(service => [service.name, service]))
    config.routes.forEach(route => this._add(route))
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param host - Host name of the request, with or without a port.
   * @param target - Request target: path and query.
   * @returns The route, or `undefined` when none matches.
   */
  find (host: string, target: string): GatewayRoute | undefined {
    const byPrefix = this._routes.get(hostName(host))
    return byPrefix === undefined ? undefined : longestPrefix(byPrefix, pathOf(target))
  }

  /**
   * @param name - Name of a service.
   * @returns The service, or `undefined` if it is not configured.
   */
  service (name: string): GatewayService | undefined {
    return this._services.get(name)
  }

  private _add (route: GatewayRoute): void {
    const host = hostName(route.host)
    const byPrefix = this._routes.get(host) ?? new Map<string, GatewayRoute>()
    byPrefix.set(route.prefix, route)
    this._routes.set(host, byPrefix)
  }
}

/**
 * Selects a service at random, by the weights of the route's targets.
 *
 * @param targets - Targets of the route; at least one.
 * @param random - Source of randomness.
 * @returns Name of the service.
 */
export function chooseTarget (targets: readonly RouteTarget[], random: Random): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  const point = random.next() * total
  const sums = targets.map((_, i) => targets.slice(0, i + 1).reduce((sum, { weight }) => sum + weight, 0))
  const index = sums.findIndex(sum => point < sum)
  return (targets[index] ?? targets[targets.length - 1])?.service ?? ''
}

function hostName (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}

function pathOf (target: string): string {
  const query = target.indexOf('?')
  return query === -1 ? target : target.slice(0, query)
}

function longestPrefix (byPrefix: ReadonlyMap<string, GatewayRoute>, path: string): GatewayRoute | undefined {
  const end = path.lastIndexOf('/')
  if (end === -1) return undefined
  return byPrefix.get(path.slice(0, end + 1)) ?? longestPrefix(byPrefix, path.slice(0, end))
}
