import { AdapterKind, PoolRole } from '@jaymill/core'
import type { Finding, ValuePath } from './JaymillDocument.js'

/** An object of the document with its path; it may not match the schema yet. */
interface Item {
  readonly path: ValuePath
  readonly value: Readonly<Record<string, unknown>>
}

const RESERVED_PATHS = ['/v1/completions', '/v1/chat/completions']

/**
 * Checks what the schema cannot express for a fleet configuration: unique ids, references and rules across fields.
 *
 * @param doc - Parsed JSON; may violate the schema.
 * @returns Every finding.
 */
export function checkFleet (doc: unknown): Finding[] {
  const [pools, models, services, routes, accounts] = ['pools', 'models', 'services', 'routes', 'accounts']
    .map(key => itemsOf(doc, [], key)) as [Item[], Item[], Item[], Item[], Item[]]
  const endpoints = pools.flatMap(pool => itemsOf(pool.value, pool.path, 'endpoints'))
  const paths = services.flatMap(service => itemsOf(service.value, service.path, 'paths'))
  return [
    ...[pools, models, services, routes, accounts, endpoints].flatMap(items => findDuplicates(items, 'id')),
    ...findDuplicates(endpoints, 'url', normalizeUrl),
    ...findDuplicates(accounts, 'keySha256'),
    ...checkReference({ path: [], value: asRecord(doc) }, 'anonymousAccount', accounts, 'account'),
    ...findDuplicatePaths(paths),
    ...[...models, ...paths].flatMap(item => checkReference(item, 'route', routes, 'route')),
    ...models.flatMap(model => checkPoolReference(model, 'prefillPool', pools, [PoolRole.Prefill, PoolRole.Both])),
    ...models.flatMap(model => checkPoolReference(model, 'decodePool', pools, [PoolRole.Decode, PoolRole.Both])),
    ...models.flatMap(model => checkModelRoute(model, routes)),
    ...services.flatMap(service => checkPoolReference(service, 'pool', pools, [PoolRole.Service])),
    ...routes.flatMap(checkRoute),
    ...pools.flatMap(checkPool),
    ...paths.flatMap(checkPath)
  ]
}

/**
 * Checks what the schema cannot express for a host list: unique ids and URLs.
 *
 * @param doc - Parsed JSON; may violate the schema.
 * @returns Every finding.
 */
export function checkHostList (doc: unknown): Finding[] {
  const hosts = itemsOf(doc, [], 'hosts')
  return [...findDuplicates(hosts, 'id'), ...findDuplicates(hosts, 'peerUrl', normalizeUrl)]
}

/**
 * Checks what the schema cannot express for host settings: unique listener addresses.
 *
 * @param doc - Parsed JSON; may violate the schema.
 * @returns Every finding.
 */
export function checkHostSettings (doc: unknown): Finding[] {
  const listen = asRecord(asRecord(doc).listen)
  const items = Object.entries(listen).map(([key, value]) => ({ path: ['listen', key], value: asRecord(value) }))
  const withFixedPort = items.filter(item => typeof item.value.port === 'number' && item.value.port !== 0)
  return findDuplicates(withFixedPort, 'port', (port, item) => `${String(item.value.address)} ${String(port)}`)
}

function asRecord (value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : {}
}

function itemsOf (parent: unknown, path: ValuePath, key: string): Item[] {
  const list = asRecord(parent)[key]
  return Array.isArray(list) ? list.map((value, i) => ({ path: [...path, key, i], value: asRecord(value) })) : []
}

function findDuplicates (
  items: readonly Item[], field: string, keyOf: (value: unknown, item: Item) => unknown = value => value
): Finding[] {
  const seen = new Set<unknown>()
  return items.filter(item => item.value[field] !== undefined).flatMap(item => {
    const key = keyOf(item.value[field], item)
    if (!seen.has(key)) {
      seen.add(key)
      return []
    }
    return [{ path: [...item.path, field], message: `is used twice: ${JSON.stringify(item.value[field])}` }]
  })
}

function findDuplicatePaths (paths: readonly Item[]): Finding[] {
  return findDuplicates(paths, 'path', (path, item) => `${String(item.value.method)} ${String(path)}`)
}

function normalizeUrl (url: unknown): unknown {
  return typeof url === 'string' && URL.canParse(url) ? new URL(url).href : url
}

function checkReference (item: Item, field: string, targets: readonly Item[], kind: string): Finding[] {
  const id = item.value[field]
  if (typeof id !== 'string' || targets.some(target => target.value.id === id)) return []
  return [{ path: [...item.path, field], message: `there is no ${kind} ${JSON.stringify(id)}` }]
}

function checkPoolReference (item: Item, field: string, pools: readonly Item[], roles: readonly PoolRole[]): Finding[] {
  const pool = pools.find(candidate => candidate.value.id === item.value[field])
  if (pool === undefined) return checkReference(item, field, pools, 'pool')
  if (roles.some(role => role === pool.value.role)) return []
  const message = `pool ${JSON.stringify(item.value[field])} has the role ${JSON.stringify(pool.value.role)}; ` +
    `it must be ${roles.map(role => JSON.stringify(role)).join(' or ')}`
  return [{ path: [...item.path, field], message }]
}

function checkModelRoute (model: Item, routes: readonly Item[]): Finding[] {
  const route = routes.find(candidate => candidate.value.id === model.value.route)
  if (route?.value.idempotent !== false) return []
  return [{ path: [...model.path, 'route'], message: 'must be idempotent, because a response may continue on another endpoint' }]
}

function checkRoute (route: Item): Finding[] {
  const { idempotent, hedging, ttftMs, deadlineMs } = route.value
  const isInvalidHedging = idempotent === false && hedging === true
  const isTtftAboveDeadline = typeof ttftMs === 'number' && typeof deadlineMs === 'number' && ttftMs > deadlineMs
  return [
    ...(isInvalidHedging ? [{ path: [...route.path, 'hedging'], message: 'a route that is not idempotent must not be hedged' }] : []),
    ...(isTtftAboveDeadline ? [{ path: [...route.path, 'ttftMs'], message: 'must not be above deadlineMs' }] : [])
  ]
}

function checkPool (pool: Item): Finding[] {
  const { role, adapter } = pool.value
  if (!Object.values(PoolRole).some(poolRole => poolRole === role)) return []
  const expectedAdapter = role === PoolRole.Service ? AdapterKind.Http : AdapterKind.Engine
  const hasWrongAdapter = adapter !== undefined && adapter !== expectedAdapter
  const endpoints = itemsOf(pool.value, pool.path, 'endpoints')
  const generatesTokens = role === PoolRole.Decode || role === PoolRole.Both
  const withoutKv = generatesTokens ? endpoints.filter(endpoint => (endpoint.value.kvPieces ?? 0) === 0) : []
  return [
    ...(hasWrongAdapter ? [{ path: [...pool.path, 'adapter'], message: `must be "${expectedAdapter}" for the role "${String(role)}"` }] : []),
    ...withoutKv.map(endpoint => ({ path: [...endpoint.path, 'kvPieces'], message: 'must be above 0 where tokens are generated' }))
  ]
}

function checkPath (path: Item): Finding[] {
  const reserved = RESERVED_PATHS.some(reservedPath => reservedPath === path.value.path)
  return reserved ? [{ path: [...path.path, 'path'], message: 'is reserved for models' }] : []
}
