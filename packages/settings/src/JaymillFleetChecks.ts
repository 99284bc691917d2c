import { AdapterKind, PoolRole } from '@jaymill/core'
import type { Finding, ValuePath } from './JaymillDocument.js'

/** An element of a list of the document, before its schema is known to hold. */
interface Item {
  readonly path: ValuePath
  readonly value: Readonly<Record<string, unknown>>
}

const RESERVED_PATHS = ['/v1/completions', '/v1/chat/completions']

/**
 * Checks what the schema can't: ids, references and rules between fields of a fleet configuration.
 *
 * @param doc - Parsed JSON, which need not fit the schema.
 * @returns Every finding.
 */
export function checkFleet (doc: unknown): Finding[] {
  const [pools, models, services, routes, accounts] = ['pools', 'models', 'services', 'routes', 'accounts']
    .map(key => itemsOf(doc, [], key)) as [Item[], Item[], Item[], Item[], Item[]]
  const endpoints = pools.flatMap(pool => itemsOf(pool.value, pool.path, 'endpoints'))
  const paths = services.flatMap(service => itemsOf(service.value, service.path, 'paths'))
  return [
    ...[pools, models, services, routes, accounts, endpoints].flatMap(items => duplicates(items, 'id')),
    ...duplicates(endpoints, 'url', normalUrl),
    ...duplicates(accounts, 'keySha256'),
    ...reference({ path: [], value: asRecord(doc) }, 'anonymousAccount', accounts, 'account'),
    ...duplicatePaths(paths),
    ...[...models, ...paths].flatMap(item => reference(item, 'route', routes, 'route')),
    ...models.flatMap(model => poolReference(model, 'prefillPool', pools, [PoolRole.Prefill, PoolRole.Both])),
    ...models.flatMap(model => poolReference(model, 'decodePool', pools, [PoolRole.Decode, PoolRole.Both])),
    ...models.flatMap(model => modelRoute(model, routes)),
    ...services.flatMap(service => poolReference(service, 'pool', pools, [PoolRole.Service])),
    ...routes.flatMap(routeRules),
    ...pools.flatMap(poolRules),
    ...paths.flatMap(pathRules)
  ]
}

/**
 * Checks what the schema can't: ids and URLs of a host list.
 *
 * @param doc - Parsed JSON, which need not fit the schema.
 * @returns Every finding.
 */
export function checkHostList (doc: unknown): Finding[] {
  const hosts = itemsOf(doc, [], 'hosts')
  return [...duplicates(hosts, 'id'), ...duplicates(hosts, 'peerUrl', normalUrl)]
}

/**
 * Checks what the schema can't: listeners of one host.
 *
 * @param doc - Parsed JSON, which need not fit the schema.
 * @returns Every finding.
 */
export function checkHostSettings (doc: unknown): Finding[] {
  const listen = asRecord(asRecord(doc).listen)
  const items = Object.entries(listen).map(([key, value]) => ({ path: ['listen', key], value: asRecord(value) }))
  const fixed = items.filter(item => typeof item.value.port === 'number' && item.value.port !== 0)
  return duplicates(fixed, 'port', (port, item) => `${String(item.value.address)} ${String(port)}`)
}

function asRecord (value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
}

function itemsOf (parent: unknown, path: ValuePath, key: string): Item[] {
  const list = asRecord(parent)[key]
  return Array.isArray(list) ? list.map((value, i) => ({ path: [...path, key, i], value: asRecord(value) })) : []
}

function duplicates (
  items: readonly Item[], field: string, keyOf: (value: unknown, item: Item) => unknown = value => value
): Finding[] {
  const first = new Set<unknown>()
  return items.filter(item => item.value[field] !== undefined).flatMap(item => {
    const key = keyOf(item.value[field], item)
    if (!first.has(key)) {
      first.add(key)
      return []
    }
    return [{ path: [...item.path, field], message: `is used twice: ${JSON.stringify(item.value[field])}` }]
  })
}

function duplicatePaths (paths: readonly Item[]): Finding[] {
  return duplicates(paths, 'path', (path, item) => `${String(item.value.method)} ${String(path)}`)
}

function normalUrl (url: unknown): unknown {
  return typeof url === 'string' && URL.canParse(url) ? new URL(url).href : url
}

function reference (item: Item, field: string, targets: readonly Item[], kind: string): Finding[] {
  const id = item.value[field]
  if (typeof id !== 'string' || targets.some(target => target.value.id === id)) return []
  return [{ path: [...item.path, field], message: `there is no ${kind} ${JSON.stringify(id)}` }]
}

function poolReference (item: Item, field: string, pools: readonly Item[], roles: readonly PoolRole[]): Finding[] {
  const pool = pools.find(candidate => candidate.value.id === item.value[field])
  if (pool === undefined) return reference(item, field, pools, 'pool')
  if (roles.some(role => role === pool.value.role)) return []
  const message = `pool ${JSON.stringify(item.value[field])} has the role ${JSON.stringify(pool.value.role)}; ` +
    `it must be ${roles.map(role => JSON.stringify(role)).join(' or ')}`
  return [{ path: [...item.path, field], message }]
}

function modelRoute (model: Item, routes: readonly Item[]): Finding[] {
  const route = routes.find(candidate => candidate.value.id === model.value.route)
  if (route?.value.idempotent !== false) return []
  return [{ path: [...model.path, 'route'], message: 'must be idempotent, since an answer may go on at another endpoint' }]
}

function routeRules (route: Item): Finding[] {
  const { idempotent, hedging, ttftMs, deadlineMs } = route.value
  const hedged = idempotent === false && hedging === true
  const late = typeof ttftMs === 'number' && typeof deadlineMs === 'number' && ttftMs > deadlineMs
  return [
    ...(hedged ? [{ path: [...route.path, 'hedging'], message: 'a route that is not idempotent must not be hedged' }] : []),
    ...(late ? [{ path: [...route.path, 'ttftMs'], message: 'must not be above deadlineMs' }] : [])
  ]
}

function poolRules (pool: Item): Finding[] {
  const { role, adapter } = pool.value
  if (!Object.values(PoolRole).some(known => known === role)) return []
  const wanted = role === PoolRole.Service ? AdapterKind.Http : AdapterKind.Engine
  const misfit = adapter !== undefined && adapter !== wanted
  const endpoints = itemsOf(pool.value, pool.path, 'endpoints')
  const holdsKv = role === PoolRole.Decode || role === PoolRole.Both
  const bare = holdsKv ? endpoints.filter(endpoint => (endpoint.value.kvPieces ?? 0) === 0) : []
  return [
    ...(misfit ? [{ path: [...pool.path, 'adapter'], message: `must be "${wanted}" for the role "${String(role)}"` }] : []),
    ...bare.map(endpoint => ({ path: [...endpoint.path, 'kvPieces'], message: 'must be above 0 where tokens are generated' }))
  ]
}

function pathRules (path: Item): Finding[] {
  const reserved = RESERVED_PATHS.some(known => known === path.value.path)
  return reserved ? [{ path: [...path.path, 'path'], message: 'is reserved for models' }] : []
}
