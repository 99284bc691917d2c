import { expect, test } from 'vitest'
import { chooseTarget, isIdempotent, RouteKind, RouteTable, SeededRandom, type GatewayConfig, type GatewayRoute } from '../../../index.js'

function route (name: string, host: string, prefix: string, overrides: Partial<GatewayRoute> = {}): GatewayRoute {
  return {
    name,
    host,
    prefix,
    kind: RouteKind.Safe,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 1,
    targets: [{ service: 's', weight: 1 }],
    maxAttempts: 2,
    resumable: false,
    ...overrides
  }
}

function table (...routes: GatewayRoute[]): RouteTable {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const config: GatewayConfig = { version: 3, routes, services: [{ name: 's', healthPath: '/h', maxConnections: 1 }], limits }
  return new RouteTable(config)
}

test('finds the route of the host with the longest prefix of the path', () => {
  const routes = table(route('all', 'a.example', '/'), route('short', 'a.example', '/x/'), route('long', 'a.example', '/x/y/'), route('other', 'b.example', '/x/y/z/'))
  expect(routes.find('a.example', '/x/y/z/1')?.name).toBe('long')
  expect(routes.find('a.example', '/x/y')?.name).toBe('short')
  expect(routes.find('a.example', '/q')?.name).toBe('all')
  expect(routes.find('b.example', '/x/y/')).toBeUndefined()
})

test('does not match the query as part of the path', () => {
  expect(table(route('x', 'a.example', '/x/')).find('a.example', '/?back=/x/')).toBeUndefined()
})

test('ignores the case and port of the host', () => {
  expect(table(route('x', 'a.example', '/x/')).find('A.Example:8080', '/x/1')?.name).toBe('x')
})

test('finds no route for an unknown host or a target that is not a path', () => {
  const routes = table(route('all', 'a.example', '/'))
  expect(routes.find('c.example', '/')).toBeUndefined()
  expect(routes.find('a.example', '*')).toBeUndefined()
})

test('splits requests by weight', () => {
  const random = new SeededRandom(5)
  const targets = [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }]
  const chosen = Array.from({ length: 5_000 }, () => chooseTarget(targets, random))
  const share = chosen.filter(name => name === 'b').length / chosen.length
  expect(share).toBeGreaterThan(0.08)
  expect(share).toBeLessThan(0.12)
})

test('treats only safe and resumable routes as idempotent', () => {
  expect(isIdempotent(route('s', 'h', '/'))).toBe(true)
  expect(isIdempotent(route('u', 'h', '/', { kind: RouteKind.Unsafe }))).toBe(false)
  expect(isIdempotent(route('t', 'h', '/', { kind: RouteKind.Streaming }))).toBe(false)
  expect(isIdempotent(route('r', 'h', '/', { kind: RouteKind.Streaming, resumable: true }))).toBe(true)
})
