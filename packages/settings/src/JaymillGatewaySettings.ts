import * as z from 'zod'
import { countField, idField, rateField, textField, Unit } from './JaymillFields.js'
import { LogLevel } from './JaymillHostSettings.js'

const SOCKET_ADDRESS = /^(?<address>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/

/** IP number and port of a listener. */
export interface SocketAddress {
  readonly address: string
  readonly port: number
}

const socketField = (description: string) => z.string()
  .regex(SOCKET_ADDRESS, 'must be an IP number and a port, such as "10.0.0.1:8080"')
  .transform(parseSocketAddress)
  .meta({ description })

/** Schema of the settings of one gateway host. */
export const gatewaySettingsSchema = z.strictObject({
  host: z.strictObject({
    id: idField('Id of this host.'),
    zone: idField('Availability zone.'),
    address: textField('IP number under which other hosts reach this one.')
  }).meta({ description: 'Identity of this host.' }),
  listen: z.strictObject({
    caller: socketField('Listener for callers.'),
    ready: socketField('Listener for readiness checks.'),
    documents: socketField('Listener from which other hosts fetch what is published.'),
    beacon: socketField('UDP socket for messages between hosts.'),
    metrics: socketField('Listener for metrics.')
  }).meta({ description: 'Listeners.' }),
  readyPath: textField('Path of the readiness check.').default('/ready'),
  metricsPath: textField('Path of the metrics.').default('/metrics'),
  source: z.strictObject({
    address: socketField('Service that publishes configuration and endpoints.')
  }).meta({ description: 'What is published.' }),
  seeds: z.array(socketField('Address of another host.')).default([])
    .meta({ description: 'Hosts to start from; some may be down.' }),
  bounds: z.strictObject({
    graceSeconds: rateField(Unit.Seconds, 'Time between the request to stop and the end of the process.'),
    retryRatio: rateField(Unit.None, 'Retries of the fleet for each request.'),
    retryMinimum: countField(0, Unit.Requests, 'Retries of the fleet in a window beyond the ratio.'),
    retryWindowSeconds: rateField(Unit.Seconds, 'Window of the retry budget.')
  }).meta({ description: 'Bounds that the fleet keeps.' }),
  log: z.strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info).meta({ description: 'Least severe level that is logged.' })
  }).prefault({}).meta({ description: 'Logging.' })
})

/** Settings of one gateway host, with defaults filled in. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>

/**
 * @param text - IP number and port.
 * @returns Both parts.
 */
export function parseSocketAddress (text: string): SocketAddress {
  const groups = SOCKET_ADDRESS.exec(text)?.groups
  return { address: groups?.address ?? '', port: Number(groups?.port ?? 0) }
}
