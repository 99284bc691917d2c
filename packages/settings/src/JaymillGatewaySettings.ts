import * as z from 'zod'
import type { ProcessLimits } from '@jaymill/core'
import { idField, nonNegativeNumberField, textField, Unit } from './JaymillFields.js'
import { LogLevel } from './JaymillHostSettings.js'

const SOCKET_ADDRESS_PATTERN = /^(?<address>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/

/** IP address and port of a listener. */
export interface SocketAddress {
  readonly address: string
  readonly port: number
}

const socketAddressField = (description: string) => z.string()
  .regex(SOCKET_ADDRESS_PATTERN, 'must be an IP address and a port, such as "10.0.0.1:8080"')
  .transform(parseSocketAddress)
  .meta({ description })

/** Schema of the settings of one gateway host. */
export const gatewaySettingsSchema = z.strictObject({
  host: z.strictObject({
    id: idField('Id of this host.'),
    zone: idField('Availability zone.'),
    address: textField('IP address at which other hosts reach this one.')
  }).meta({ description: 'Identity of this host.' }),
  listen: z.strictObject({
    caller: socketAddressField('Listener for callers.'),
    ready: socketAddressField('Listener for readiness checks.'),
    documents: socketAddressField('Listener from which other hosts fetch configuration and endpoints.'),
    beacon: socketAddressField('UDP socket for heartbeats between hosts.'),
    metrics: socketAddressField('Listener for metrics.'),
    peers: socketAddressField('Listener for requests that other hosts forward; the port is the same on all hosts. Without it, this host forwards and accepts none.').optional()
  }).meta({ description: 'Listeners.' }),
  readyPath: textField('Path of the readiness check.').default('/ready'),
  metricsPath: textField('Path of the metrics.').default('/metrics'),
  source: z.strictObject({
    address: socketAddressField('Service that publishes configuration and endpoints.')
  }).meta({ description: 'Configuration source.' }),
  seeds: z.array(socketAddressField('Address of another host.')).default([])
    .meta({ description: 'Initial peers, retained for the life of the process; some may be down.' }),
  bounds: z.strictObject({
    graceSeconds: nonNegativeNumberField(Unit.Seconds, 'Grace period from the stop request to the exit of the process.').default(8),
    configurationMs: nonNegativeNumberField(Unit.Milliseconds, 'Time within which a published configuration has to take effect on every host.').default(2_000),
    retryRatio: nonNegativeNumberField(Unit.None, 'Maximum ratio of retries to requests across the fleet, for each service.').default(0.2),
    retryMinimum: nonNegativeNumberField(Unit.Requests, 'Retries allowed per window in addition to the ratio, for each service.').default(0),
    retryWindowSeconds: nonNegativeNumberField(Unit.Seconds, 'Sliding window of the retry budget; 0 allows no retries.').default(10),
    quotaWindowSeconds: nonNegativeNumberField(Unit.Seconds, 'Window within which the quotas of client accounts have to hold across the fleet.').default(10),
    quotaOverage: nonNegativeNumberField(Unit.None, 'Share by which a quota may be exceeded while hosts are out of touch with each other.').default(0)
  }).prefault({}).meta({ description: 'Grace period, time for a new configuration, fleet-wide retry budget, and tolerance of quotas.' }),
  limits: z.strictObject({
    memoryMb: nonNegativeNumberField(Unit.Megabytes, 'Memory of the process, 1,000,000 bytes each. Without it, requests and responses are held without limit.').optional(),
    descriptors: nonNegativeNumberField(Unit.Descriptors, 'File descriptors of the process. Without it, connections are accepted without limit.').optional(),
    reservedDescriptors: nonNegativeNumberField(Unit.Descriptors, 'File descriptors that sockets do not use.').default(0)
  }).prefault({}).meta({ description: 'Limits that the operating system or its supervisor sets for the process.' }),
  log: z.strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info).meta({ description: 'Lowest severity that is logged.' })
  }).prefault({}).meta({ description: 'Logging.' })
})

/** Settings of one gateway host, with defaults filled in. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>

const BYTES_PER_MB = 1_000_000

/**
 * Converts the limits of the process.
 *
 * @param settings - Settings of the host.
 * @returns The limits; each is absent without a setting.
 */
export function processLimits ({ limits: { memoryMb, descriptors, reservedDescriptors } }: GatewaySettings): ProcessLimits {
  return {
    memoryBytes: memoryMb === undefined ? undefined : memoryMb * BYTES_PER_MB,
    sockets: descriptors === undefined ? undefined : Math.max(0, descriptors - reservedDescriptors)
  }
}

/**
 * Parses a socket address.
 *
 * @param text - IP address and port, such as `10.0.0.1:8080`.
 * @returns IP address and port; an empty address and port 0 when the text does not match.
 */
export function parseSocketAddress (text: string): SocketAddress {
  const groups = SOCKET_ADDRESS_PATTERN.exec(text)?.groups
  return { address: groups?.address ?? '', port: Number(groups?.port ?? 0) }
}
