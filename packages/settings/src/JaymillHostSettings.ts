import * as z from 'zod'
import { HOST_DEFAULTS as DEFAULTS } from './constants.js'
import { addressField, countField, idField, portField, rateField, textField, Unit, urlField } from './JaymillFields.js'

/** How the platform is reached. */
export enum PlatformKind {
  File = 'file',
  Http = 'http'
}

/** How much is logged. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug'
}

const listener = (purpose: string) => z.strictObject({
  address: addressField('IP number to listen on.'),
  port: portField('TCP port; 0 lets the system choose a free one.')
}).meta({ description: purpose })

const secret = (purpose: string) => z.strictObject({
  env: textField('Environment variable that holds the secret.').optional(),
  file: textField('File that holds the secret; white space around it is dropped.').optional(),
  value: textField('The secret itself; for trials only.').optional()
}).refine(source => Object.values(source).filter(part => part !== undefined).length === 1,
  'must hold exactly one of "env", "file" and "value"').meta({ description: purpose })

const filePlatform = z.strictObject({
  kind: z.literal(PlatformKind.File).meta({ description: 'Reads two local files.' }),
  fleetPath: textField('File with the fleet configuration.'),
  hostsPath: textField('File with the host list.'),
  rereadMs: countField(10, Unit.Milliseconds, 'Time between two reads when no change is signalled.')
    .default(DEFAULTS.rereadMs)
})

const httpPlatform = z.strictObject({
  kind: z.literal(PlatformKind.Http).meta({ description: 'Blocking queries over HTTP, as Consul publishes them.' }),
  url: urlField('Base URL of the service.'),
  fleetKey: textField('Key of the fleet configuration.').default('jaymill/fleet'),
  hostsKey: textField('Key of the host list.').default('jaymill/hosts'),
  token: secret('Token sent as X-Consul-Token.').optional(),
  waitMs: countField(1_000, Unit.Milliseconds, 'Time the service may hold a query open.').default(DEFAULTS.waitMs),
  requestTimeoutMs: countField(100, Unit.Milliseconds, 'Time a query may take beyond its wait.')
    .default(DEFAULTS.requestTimeoutMs),
  maxBackoffMs: countField(100, Unit.Milliseconds, 'Longest pause after failures.').default(DEFAULTS.maxBackoffMs),
  hostReadsPerSecond: rateField(Unit.PerSecond, 'Reads that one host may send.').default(DEFAULTS.hostReadsPerSecond),
  fleetReadsPerSecond: rateField(Unit.PerSecond, 'Reads that all listed hosts together may send.')
    .default(DEFAULTS.fleetReadsPerSecond)
})

const limits = z.strictObject({
  headerBytes: countField(1_024, Unit.Bytes, 'Largest request header.').default(DEFAULTS.headerBytes),
  bodyBytes: countField(1, Unit.Bytes, 'Largest request body that is held in memory.').default(DEFAULTS.bodyBytes),
  callerStallMs: countField(10, Unit.Milliseconds, 'Time for which a caller may read nothing before it counts as gone.')
    .default(DEFAULTS.callerStallMs),
  queueRequests: countField(1, Unit.Requests, 'Requests of one class that may wait before one pool.').default(DEFAULTS.queueRequests),
  queueBytes: countField(1, Unit.Bytes, 'Request bodies held in memory together.').default(DEFAULTS.queueBytes),
  clockSkewMs: countField(0, Unit.Milliseconds, 'Largest difference between two clocks of the fleet.')
    .default(DEFAULTS.clockSkewMs),
  keyRecordMs: countField(1_000, Unit.Milliseconds, 'Time for which the outcome of an idempotency key is remembered.')
    .default(DEFAULTS.keyRecordMs),
  keyRecords: countField(1, Unit.Records, 'Idempotency keys that are remembered.').default(DEFAULTS.keyRecords)
})

/** Schema of the settings of one host. */
export const hostSettingsSchema = z.strictObject({
  host: z.strictObject({
    id: idField('Id of this host, as in the published host list.'),
    zone: idField('Availability zone.'),
    region: idField('Region.'),
    incarnation: countField(1, Unit.None, 'Number that is larger after every start; start time when absent.').optional()
  }).meta({ description: 'Identity of this host.' }),
  listen: z.strictObject({
    caller: listener('Listener for callers.'),
    peer: listener('Listener for other hosts.'),
    admin: listener('Listener for operators.'),
    metrics: listener('Listener for metrics.')
  }).meta({ description: 'Listeners.' }),
  platform: z.discriminatedUnion('kind', [filePlatform, httpPlatform]).meta({ description: 'Published documents.' }),
  credentials: z.strictObject({
    peerToken: secret('Token that hosts show each other.'),
    adminToken: secret('Token that operators show.')
  }).meta({ description: 'Secrets.' }),
  tls: z.strictObject({
    keyPath: textField('Private key, PEM.'),
    certPath: textField('Certificate chain, PEM.'),
    caPath: textField('Authorities that peers are checked against, PEM.').optional()
  }).optional().meta({ description: 'TLS of the peer and admin listeners; plain TCP when absent.' }),
  limits: limits.prefault({}).meta({ description: 'Bounds.' }),
  drainDeadlineMs: countField(0, Unit.Milliseconds, 'Time after which a graceful stop that still has work is reported.')
    .default(DEFAULTS.drainDeadlineMs),
  log: z.strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info).meta({ description: 'Least severe level that is logged.' })
  }).prefault({}).meta({ description: 'Logging.' })
})

/** Settings of one host, with defaults filled in. */
export type HostSettings = z.output<typeof hostSettingsSchema>
/** How the platform is reached. */
export type PlatformSettings = HostSettings['platform']
/** How a blocking-query platform is reached. */
export type HttpPlatformSettings = z.output<typeof httpPlatform>
/** How a file platform is reached. */
export type FilePlatformSettings = z.output<typeof filePlatform>
/** Where a secret comes from; exactly one member is set. */
export type SecretSource = HostSettings['credentials']['peerToken']
/** Address of a listener. */
export type ListenSettings = HostSettings['listen']['caller']
