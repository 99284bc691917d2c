import { ErrorKind } from '../errors/JaymillError.js'
import { RequestError } from '../errors/JaymillRequestError.js'
import type {
  AccountConfig, EndpointConfig, FleetConfig, ModelConfig, PoolConfig, RouteConfig, ServiceConfig
} from './JaymillFleetConfig.js'

/** Service and route that match a request. */
export interface ServiceMatch {
  readonly service: ServiceConfig
  readonly route: RouteConfig
}

function byId<Item extends { readonly id: string }> (items: readonly Item[]): Map<string, Item> {
  return new Map(items.map(item => [item.id, item]))
}

function hasPathPrefix (path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}

/** Index of one fleet configuration, built once per revision. */
export class FleetIndex {
  private readonly _fleet: FleetConfig
  private readonly _pools: Map<string, PoolConfig>
  private readonly _poolOfEndpoint: Map<string, PoolConfig>
  private readonly _endpoints: Map<string, EndpointConfig>
  private readonly _routes: Map<string, RouteConfig>
  private readonly _models: Map<string, ModelConfig>
  private readonly _accountsByKey: Map<string, AccountConfig>
  private readonly _accountsById: Map<string, AccountConfig>

  /**
   * @param fleet - Configuration.
   */
  constructor (fleet: FleetConfig) {
    this._fleet = fleet
    this._pools = byId(fleet.pools)
    this._endpoints = byId(fleet.pools.flatMap(({ endpoints }) => endpoints))
    this._poolOfEndpoint = new Map(fleet.pools.flatMap(pool => pool.endpoints.map(({ id }) => [id, pool])))
    this._accountsById = byId(fleet.accounts)
    this._routes = byId(fleet.routes)
    this._models = new Map(fleet.models.flatMap(model => [model.id, ...model.adapters].map(name => [name, model])))
    this._accountsByKey = new Map(fleet.accounts.map(account => [account.keySha256.toLowerCase(), account]))
  }

  /**
   * Returns a pool by its id.
   *
   * @param id - Id of a pool.
   * @returns The pool.
   * @throws RequestError of kind `NoEndpoint`.
   */
  pool (id: string): PoolConfig {
    return requireFound(this._pools.get(id), ErrorKind.NoEndpoint, `pool ${id} is not configured`)
  }

  /**
   * Returns an endpoint by its id.
   *
   * @param id - Id of an endpoint.
   * @returns The endpoint.
   * @throws RequestError of kind `NoEndpoint`.
   */
  endpoint (id: string): EndpointConfig {
    return requireFound(this._endpoints.get(id), ErrorKind.NoEndpoint, `endpoint ${id} is not configured`)
  }

  /**
   * Returns the pool of an endpoint.
   *
   * @param id - Id of an endpoint.
   * @returns The pool that contains it.
   * @throws RequestError of kind `NoEndpoint`.
   */
  poolOfEndpoint (id: string): PoolConfig {
    return requireFound(this._poolOfEndpoint.get(id), ErrorKind.NoEndpoint, `endpoint ${id} is not configured`)
  }

  /**
   * Returns a route by its id.
   *
   * @param id - Id of a route.
   * @returns The route.
   * @throws RequestError of kind `NotFound`.
   */
  route (id: string): RouteConfig {
    return requireFound(this._routes.get(id), ErrorKind.NotFound, `route ${id} is not configured`)
  }

  /**
   * Returns the model with the given name.
   *
   * @param name - Name of a model or of one of its adapters.
   * @returns The model.
   * @throws RequestError of kind `NotFound`.
   */
  model (name: string): ModelConfig {
    return requireFound(this._models.get(name), ErrorKind.NotFound, `model ${name} is not configured`)
  }

  /**
   * Returns the account of an API key.
   *
   * @param keySha256 - SHA-256 of an API key, in lower-case hexadecimal.
   * @returns The account.
   * @throws RequestError of kind `Unauthorized`.
   */
  account (keySha256: string): AccountConfig {
    return requireFound(this._accountsByKey.get(keySha256), ErrorKind.Unauthorized, 'the API key is missing or unknown')
  }

  /**
   * Returns an account by its id.
   *
   * @param id - Id of an account.
   * @returns The account.
   * @throws RequestError of kind `Unauthorized`.
   */
  accountById (id: string): AccountConfig {
    return requireFound(this._accountsById.get(id), ErrorKind.Unauthorized, `account ${id} is not configured`)
  }

  /**
   * Returns the account for requests without an API key.
   *
   * @returns The account.
   * @throws RequestError of kind `Unauthorized` when such requests are not served.
   */
  anonymousAccount (): AccountConfig {
    const account = this._accountsById.get(this._fleet.anonymousAccount ?? '')
    return requireFound(account, ErrorKind.Unauthorized, 'the API key is missing')
  }

  /**
   * Finds the service for a path; the longest matching prefix wins.
   *
   * @param method - HTTP method.
   * @param path - Path without query.
   * @returns The service and its route.
   * @throws RequestError of kind `NotFound`.
   */
  service (method: string, path: string): ServiceMatch {
    const match = this._fleet.services
      .flatMap(service => service.paths.map(entry => ({ service, entry })))
      .filter(({ entry }) => entry.method === method && hasPathPrefix(path, entry.path))
      .sort((a, b) => b.entry.path.length - a.entry.path.length)[0]
    const { service, entry } = requireFound(match, ErrorKind.NotFound, `no service is configured for ${method} ${path}`)
    return { service, route: this.route(entry.route) }
  }
}

function requireFound<Value> (value: Value | undefined, kind: ErrorKind, message: string): Value {
  if (value === undefined) throw new RequestError(kind, message)
  return value
}

const indexes = new WeakMap<FleetConfig, FleetIndex>()

/**
 * Returns the index of a configuration; it is built at the first call and cached.
 *
 * @param fleet - Configuration; it must not be modified.
 * @returns The index.
 */
export function fleetIndex (fleet: FleetConfig): FleetIndex {
  const index = indexes.get(fleet) ?? new FleetIndex(fleet)
  indexes.set(fleet, index)
  return index
}
