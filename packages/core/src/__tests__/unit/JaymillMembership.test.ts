import { describe, expect, test } from 'vitest'
import {
  EndpointAvailability, GONE_AFTER_SUSPECT_MS, HEALTH_SUMMARY_CHARS_PER_SECOND, HealthSummaryRateLimiter, Heartbeat, heartbeatPartners,
  HostList, HostState, LEAVING_REPORT_TTL_MS, Membership, MembershipEffect, MembershipEffectKind, PAUSE_GAP_MS, PeerStatus,
  SUSPECT_AFTER_MS
} from '../../index.js'

const STEP_MS = 200
const PAYLOAD = { documents: [], leavingEndpoints: [], health: '' }

const listOf = (count: number): HostList => ({
  revision: 1,
  hosts: Array.from({ length: count }, (_, i) => ({
    id: `host-${i}`, zone: `zone-${i % 5}`, region: `region-${i % 2}`, peerUrl: `http://127.0.0.1:${i}`, state: HostState.Live
  })),
  leavingEndpoints: []
})

/** Membership of several hosts whose heartbeats arrive immediately unless the link is cut. */
class Fleet {
  nowMs = 0
  readonly hosts = new Map<string, Membership>()
  readonly effects: MembershipEffect[] = []
  readonly down = new Set<string>()
  cut: (from: string, to: string) => boolean = () => false

  constructor (count: number) {
    const list = listOf(count)
    list.hosts.forEach(host => this.hosts.set(host.id, new Membership({ ...host, incarnation: 1 }, 0)))
    this.hosts.forEach(host => host.adoptList(list, 0))
  }

  get (id: string): Membership {
    return this.hosts.get(id) as Membership
  }

  run (ms: number): void {
    Array.from({ length: ms / STEP_MS }).forEach(() => {
      this.nowMs += STEP_MS
      const up = [...this.hosts].filter(([id]) => !this.down.has(id))
      up.forEach(([id, host]) => this.deliver(id, host.tick(this.nowMs)))
    })
  }

  deliver (from: string, effects: readonly MembershipEffect[]): void {
    this.effects.push(...effects.filter(({ kind }) => kind !== MembershipEffectKind.Send))
    effects.forEach(effect => { if (effect.kind === MembershipEffectKind.Send) this._exchange(from, effect.hostId) })
  }

  statusesOf (of: string): PeerStatus[] {
    return [...this.hosts].filter(([id]) => id !== of && !this.down.has(id)).map(([, host]) => host.statusOf(of))
  }

  private _exchange (from: string, to: string): void {
    if (this.down.has(to) || this.cut(from, to)) return
    const [sender, receiver] = [this.get(from), this.get(to)]
    this.deliver(to, receiver.receive(sender.createHeartbeat(PAYLOAD, to), this.nowMs))
    this.deliver(from, sender.receive(receiver.createHeartbeat(PAYLOAD, from), this.nowMs))
  }
}

const heartbeatOf = (overrides: Partial<Heartbeat>): Heartbeat => ({
  ...PAYLOAD, from: 'host-1', incarnation: 1, seq: 1, state: HostState.Live, updates: [], ...overrides
})
const allEqual = (expected: PeerStatus) => (statuses: readonly PeerStatus[]) => statuses.every(status => status === expected)

describe('Membership', () => {
  test('every host detects a failed host and its restart, and suspects no other host', () => {
    const fleet = new Fleet(60)
    fleet.run(10_000)
    expect(fleet.effects.filter(effect => effect.kind === MembershipEffectKind.PeerChanged && effect.status !== PeerStatus.Live)).toEqual([])
    fleet.down.add('host-9')
    fleet.run(SUSPECT_AFTER_MS + GONE_AFTER_SUSPECT_MS + 10_000)
    expect(fleet.statusesOf('host-9')).toSatisfy(allEqual(PeerStatus.Gone))
    expect(fleet.statusesOf('host-8')).toSatisfy(allEqual(PeerStatus.Live))
    const restarted = new Membership({ id: 'host-9', zone: 'zone-4', region: 'region-1', incarnation: 2 }, fleet.nowMs)
    restarted.adoptList(listOf(60), fleet.nowMs)
    fleet.hosts.set('host-9', restarted)
    fleet.down.delete('host-9')
    fleet.run(20_000)
    expect(fleet.statusesOf('host-9')).toSatisfy(allEqual(PeerStatus.Live))
    expect(fleet.get('host-3').incarnationOf('host-9')).toBe(2)
  })

  test('all hosts see a stopping host as leaving within 5 s, and it stays leaving', () => {
    const fleet = new Fleet(60)
    fleet.run(10_000)
    fleet.deliver('host-9', fleet.get('host-9').leave(fleet.nowMs))
    fleet.run(5_000)
    expect(fleet.statusesOf('host-9')).toSatisfy(allEqual(PeerStatus.Leaving))
    fleet.run(10_000)
    expect(fleet.statusesOf('host-9')).toSatisfy(allEqual(PeerStatus.Leaving))
  })

  test('a host is not considered gone because of one cut link', () => {
    const fleet = new Fleet(60)
    const [partner] = heartbeatPartners('host-1', 'region-1', listOf(60).hosts, 1)
    fleet.cut = (from, to) => [from, to].every(id => ['host-1', partner].includes(id))
    fleet.run(60_000)
    expect(fleet.effects.some(effect => effect.kind === MembershipEffectKind.PeerChanged && effect.status === PeerStatus.Gone)).toBe(false)
  })

  test('a resumed host suspects no other host, reports its pause and learns that it was declared gone', () => {
    const fleet = new Fleet(7)
    fleet.run(10_000)
    fleet.down.add('host-1')
    fleet.run(60_000)
    fleet.down.delete('host-1')
    fleet.effects.length = 0
    expect(fleet.get('host-1').isPaused(fleet.nowMs)).toBe(true)
    fleet.run(10_000)
    expect(fleet.effects.filter(({ kind }) => kind === MembershipEffectKind.Paused)).toEqual([{ kind: 'paused', gapMs: 60_000 + STEP_MS }])
    expect(fleet.effects.some(({ kind }) => kind === MembershipEffectKind.DeclaredGone)).toBe(true)
    expect(fleet.effects.filter(effect => effect.kind === MembershipEffectKind.PeerChanged && effect.status !== PeerStatus.Live)).toEqual([])
    expect(fleet.statusesOf('host-1')).toSatisfy(allEqual(PeerStatus.Live))
  })

  test('a suspected host refutes with a newer update about itself, and a pause does not make it suspect other hosts', () => {
    const host = new Membership({ id: 'host-0', zone: 'z', region: 'r', incarnation: 1 }, 0)
    host.adoptList(listOf(2), 0)
    host.receive(heartbeatOf({ updates: [{ id: 'host-0', incarnation: 1, seq: 7, status: PeerStatus.Suspect }] }), 0)
    expect(host.createHeartbeat(PAYLOAD, 'host-1').updates).toContainEqual({ id: 'host-0', incarnation: 1, seq: 8, status: PeerStatus.Live })
    expect(host.tick(60_000).map(({ kind }) => kind)).toEqual([MembershipEffectKind.Paused, MembershipEffectKind.Send])
    expect(host.tick(60_000 + STEP_MS)).toEqual([])
  })

  test('late heartbeats of an earlier incarnation change nothing', () => {
    const host = new Membership({ id: 'host-0', zone: 'z', region: 'r', incarnation: 1 }, 0)
    host.adoptList(listOf(3), 0)
    host.receive(heartbeatOf({ incarnation: 5 }), 0)
    expect(host.receive(heartbeatOf({ incarnation: 4, seq: 99, state: HostState.Leaving }), 1)).toEqual([])
    expect(host.receive(heartbeatOf({ from: 'stranger', updates: [{ id: 'nobody', incarnation: 1, seq: 1, status: PeerStatus.Gone }] }), 1)).toEqual([])
    expect([host.incarnationOf('host-1'), host.statusOf('host-1')]).toEqual([5, PeerStatus.Live])
    expect(host.isPaused(PAUSE_GAP_MS)).toBe(false)
  })
})

test('health summaries stay within their rate limit however often heartbeats are sent', () => {
  const rateLimiter = new HealthSummaryRateLimiter()
  const sent = Array.from({ length: 1_000 }, (_, i) => i * 10).filter(nowMs => rateLimiter.tryAcquire(2_000, nowMs))
  expect(sent.length * 2_000).toBe(10 * HEALTH_SUMMARY_CHARS_PER_SECOND)
})

describe('EndpointAvailability', () => {
  test('a report applies immediately, expires at the time set by its first observer and is not extended by forwarding', () => {
    const [a, b] = [new EndpointAvailability(), new EndpointAvailability()]
    a.adoptList({ ...listOf(1), leavingEndpoints: ['e1'] }, 0)
    b.receive(a.reports(10_000), 10_000)
    expect(b.accepts('e1', 10_000)).toBe(false)
    a.receive(b.reports(20_000), 20_000)
    expect(a.reports(LEAVING_REPORT_TTL_MS)).toEqual([])
    expect([a.accepts('e1', LEAVING_REPORT_TTL_MS), b.accepts('e1', LEAVING_REPORT_TTL_MS)]).toEqual([false, true])
  })

  test('another host cannot exclude an endpoint for longer than the lifetime of a report', () => {
    const availability = new EndpointAvailability()
    availability.receive([{ endpointId: 'e1', expiresInMs: 1e12 }], 0)
    expect(availability.accepts('e1', LEAVING_REPORT_TTL_MS)).toBe(true)
  })
})
