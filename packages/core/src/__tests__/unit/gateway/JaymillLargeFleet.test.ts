import { expect, test } from 'vitest'
import { AllHostsReaderSelection, EndpointLoad, HostHeartbeatRateLimiter, PerZoneReaderSelection, type SourceReader } from '../../../index.js'

const ZONES = ['a', 'b', 'c', 'd', 'e']
const DATAGRAMS_PER_S = 150
const DATAGRAMS_LARGE_FLEET_PER_S = 60
const HEARTBEATS = 100
const ROUNDING = 1e-6
const READERS_PER_ZONE = 2

function fleet (hosts: number, connected: (i: number) => boolean = () => true): readonly SourceReader[] {
  return Array.from({ length: hosts }, (_, i) => ({
    address: `10.0.${String(Math.floor(i / 250))}.${String(100 + i % 250)}`, zone: ZONES[i % ZONES.length] ?? '', connected: connected(i)
  }))
}

function readers (hosts: readonly SourceReader[]): readonly SourceReader[] {
  const selection = new PerZoneReaderSelection()
  return hosts.filter(host => selection.shouldRead(host, hosts.filter(other => other !== host)))
}

test.each([7, 30, 85, 300, 420])('each of %i hosts stays below the datagram limit while its load changes all the time', hosts => {
  const rateLimiter = new HostHeartbeatRateLimiter()
  const elapsedMs = Array.from({ length: HEARTBEATS }).reduce<number>(nowMs => {
    rateLimiter.recordSent(nowMs)
    return nowMs + rateLimiter.untilNextMs(hosts - 1, nowMs)
  }, 0)
  expect(HEARTBEATS * (hosts - 1) / elapsedMs * 1_000).toBeLessThan((hosts < 17 ? DATAGRAMS_PER_S : DATAGRAMS_LARGE_FLEET_PER_S) + ROUNDING)
})

test('a host of a small fleet reports a change within a few milliseconds, and the timeout covers several heartbeats of an idle host', () => {
  const rateLimiter = new HostHeartbeatRateLimiter()
  rateLimiter.recordSent(0)
  expect(rateLimiter.untilNextMs(6, 200)).toBe(5)
  expect([6, 66, 299, 419].every(peers => rateLimiter.peerTimeoutMs(peers) >= 3 * rateLimiter.idleIntervalMs(peers))).toBe(true)
})

test('all hosts of a small fleet read from the source, and two of each zone of a large one', () => {
  expect(readers(fleet(7))).toHaveLength(7)
  expect(fleet(300).every(() => new AllHostsReaderSelection().shouldRead())).toBe(true)
  ;[30, 85, 300, 420].forEach(hosts => expect(readers(fleet(hosts))).toHaveLength(READERS_PER_ZONE * ZONES.length))
})

test('other hosts take over for readers without a connection to the source, so that every zone has two connected readers', () => {
  const selected = readers(fleet(85, i => i >= 10))
  const connectedReaders = selected.filter(({ connected }) => connected)
  ZONES.forEach(zone => expect(connectedReaders.filter(host => host.zone === zone)).toHaveLength(READERS_PER_ZONE))
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
