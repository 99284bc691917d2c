import { DEMO_ZONES } from './JaymillDemoDocuments.js'

/** What the settings of two loopback hosts differ in. */
export interface LoopbackHost {
  readonly id: string
  /** Position among the hosts; it gives the availability zone. */
  readonly index: number
  readonly platformUrl: string
  readonly adminToken: string
}

/**
 * @param index - Position of a host or endpoint.
 * @returns Its availability zone.
 */
export function zoneOf (index: number): string {
  return DEMO_ZONES[index % DEMO_ZONES.length] ?? ''
}

/**
 * @param standIns - Stand-ins that listen.
 * @returns Their base URLs.
 */
export function urlsOf (standIns: ReadonlyArray<{ readonly url: string }>): string[] {
  return standIns.map(({ url }) => url)
}

/**
 * Builds the settings of a host that listens on free ports of the loopback.
 *
 * @param host - What is its own.
 * @returns Host settings document.
 */
export function loopbackSettings ({ id, index, platformUrl, adminToken }: LoopbackHost): object {
  const listener = { address: '127.0.0.1', port: 0 }
  return {
    host: { id, zone: zoneOf(index), region: 'brittany' },
    listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
    platform: { kind: 'http', url: platformUrl },
    credentials: { peerToken: { value: 'loopback-peer' }, adminToken: { value: adminToken } }
  }
}
