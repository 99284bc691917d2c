import { expect, test } from 'vitest'
import { AllHostsReaderSelection, EndpointLoad, HostHeartbeatRateLimiter, PerZoneReaderSelection, type SourceReader } from '../../../index.js'

const ZONES = ['a', 'b', 'c', 'd', 'e']
const DATAGRAMS_PER_S = 150
const REPORTS_LARGE_FLEET_PER_S = 2
const HEARTBEATS = 100
const ROUNDING = 1e-6

function fleet (hosts: number, connected: (i: number) => boolean = () => true): readonly SourceReader[] {
  return Array.from({ length: hosts }, (_, i) => ({
    address: `10.0.${String(Math.floor(i / 250))}.${String(100 + i % 250)}`, zone: ZONES[i % ZONES.length] ?? '', connected: connected(i)
  }))
}

function readers (hosts: readonly SourceReader[]): readonly SourceReader[] {
  const selection = new PerZoneReaderSelection()
  return hosts.filter(host => selection.shouldRead(host, hosts.filter(other => other !== host)))
}

function reportsPerSecond (peers: number): number {
  const rateLimiter = new HostHeartbeatRateLimiter()
  const elapsedMs = Array.from({ length: HEARTBEATS }).reduce<number>(nowMs => {
    rateLimiter.recordSent(nowMs)
    return nowMs + rateLimiter.untilNextMs(peers, nowMs)
  }, 0)
  return HEARTBEATS / elapsedMs * 1_000
}

test.each([7, 12, 16])('each of %i hosts that report to all others stays below the datagram limit while its load changes all the time', hosts => {
  expect(new HostHeartbeatRateLimiter().usesRelays(hosts - 1)).toBe(false)
  expect(reportsPerSecond(hosts - 1) * (hosts - 1)).toBeLessThan(DATAGRAMS_PER_S + ROUNDING)
})

test.each([17, 30, 87, 195, 420])('each of %i hosts reports to relays, at a rate that does not depend on the fleet', hosts => {
  expect(new HostHeartbeatRateLimiter().usesRelays(hosts - 1)).toBe(true)
  expect(reportsPerSecond(hosts - 1)).toBeLessThan(REPORTS_LARGE_FLEET_PER_S + ROUNDING)
})

test('a host of a small fleet reports a change within a few milliseconds, and the timeout covers several heartbeats of an idle host', () => {
  const rateLimiter = new HostHeartbeatRateLimiter()
  rateLimiter.recordSent(0)
  expect(rateLimiter.untilNextMs(6, 200)).toBe(5)
  expect([6, 66, 299, 419].every(peers => rateLimiter.peerTimeoutMs(peers) >= 3 * rateLimiter.idleIntervalMs(peers))).toBe(true)
})

test('all hosts of a small fleet read from the source, and one of each zone of a large one', () => {
  expect(readers(fleet(7))).toHaveLength(7)
  expect(fleet(300).every(() => new AllHostsReaderSelection().shouldRead())).toBe(true)
  ;[30, 85, 300, 420].forEach(hosts => expect(readers(fleet(hosts))).toHaveLength(ZONES.length))
})

test('a large fleet in one or two zones has two readers in each', () => {
  const inZones = (zones: number): readonly SourceReader[] => fleet(80).map((host, i) => ({ ...host, zone: ZONES[i % zones] ?? '' }))
  expect([1, 2].map(zones => readers(inZones(zones)).length)).toEqual([2, 4])
})

test('other hosts take over for readers without a connection to the source, so that every zone has a connected reader', () => {
  const selected = readers(fleet(85, i => i >= 10))
  const connectedReaders = selected.filter(({ connected }) => connected)
  ZONES.forEach(zone => expect(connectedReaders.filter(host => host.zone === zone)).toHaveLength(1))
})

test('a reader in another zone remains when the only reader of a zone loses its connection', () => {
  const others = fleet(85).filter(({ zone }) => zone !== 'a')
  expect(readers(others)).toHaveLength(ZONES.length - 1)
})

test('few hosts keep trying while the source is unavailable', () => {
  expect(readers(fleet(300, () => false)).length).toBeLessThanOrEqual(5 * ZONES.length)
})

test('a host without peers reads from the source', () => {
  expect(new PerZoneReaderSelection().shouldRead({ address: '10.0.0.9', zone: 'a', connected: false }, [])).toBe(true)
})

test('the total work at an endpoint reflects the last report of each host', () => {
  const load = new EndpointLoad()
  const own = new AbortController()
  load.add('e', 10, own.signal)
  load.update('h1', [{ endpointId: 'e', requests: 2, tokens: 20 }, { endpointId: 'f', requests: 1, tokens: 5 }])
  load.update('h2', [{ endpointId: 'e', requests: 1, tokens: 7 }])
  expect(load.at('e')).toEqual({ requests: 4, tokens: 37 })
  load.update('h1', [{ endpointId: 'f', requests: 3, tokens: 6 }])
  expect([load.at('e'), load.at('f')]).toEqual([{ requests: 2, tokens: 17 }, { requests: 3, tokens: 6 }])
  load.forget('h1')
  own.abort()
  expect([load.at('e'), load.at('f')]).toEqual([{ requests: 1, tokens: 7 }, { requests: 0, tokens: 0 }])
})
