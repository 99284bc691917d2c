import { DEMO_ZONES } from './JaymillDemoDocuments.js'

/** Settings that differ between loopback hosts. */
export interface LoopbackHost {
  readonly id: string
  /** Position among the hosts; determines the availability zone. */
  readonly index: number
  readonly configServerUrl: string
  readonly adminToken: string
}

/**
 * Selects the availability zone of a host or endpoint.
 *
 * @param index - Position of the host or endpoint.
 * @returns Its availability zone.
 */
export function zoneOf (index: number): string {
  return DEMO_ZONES[index % DEMO_ZONES.length] ?? ''
}

/**
 * Collects the base URLs of fake servers.
 *
 * @param servers - Fake servers that listen.
 * @returns Their base URLs.
 */
export function urlsOf (servers: ReadonlyArray<{ readonly url: string }>): string[] {
  return servers.map(({ url }) => url)
}

/**
 * Builds the settings of a host that listens on free ports of the loopback interface.
 *
 * @param host - Settings of this host.
 * @returns Host settings document.
 */
export function loopbackSettings ({ id, index, configServerUrl, adminToken }: LoopbackHost): object {
  const listener = { address: '127.0.0.1', port: 0 }
  return {
    host: { id, zone: zoneOf(index), region: 'brittany' },
    listen: { caller: listener, peer: listener, admin: listener, metrics: listener },
    platform: { kind: 'http', url: configServerUrl },
    credentials: { peerToken: { value: 'loopback-peer' }, adminToken: { value: adminToken } }
  }
}
