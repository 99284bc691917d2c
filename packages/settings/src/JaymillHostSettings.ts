import * as z from 'zod'
import { HOST_DEFAULTS as DEFAULTS } from './constants.js'
import { addressField, integerField, idField, portField, positiveNumberField, textField, Unit, urlField } from './JaymillFields.js'

/** Kinds of configuration sources. */
export enum PlatformKind {
  File = 'file',
  Http = 'http'
}

/** Log levels, most severe first. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug'
}

const listener = (purpose: string) => z.strictObject({
  address: addressField('IP address to listen on.'),
  port: portField('TCP port; 0 lets the operating system choose a free one.')
}).meta({ description: purpose })

const secret = (purpose: string) => z.strictObject({
  env: textField('Environment variable that contains the secret.').optional(),
  file: textField('File that contains the secret; leading and trailing white space is removed.').optional(),
  value: textField('The secret itself; for testing only.').optional()
}).refine(source => Object.values(source).filter(part => part !== undefined).length === 1,
  'must contain exactly one of "env", "file" and "value"').meta({ description: purpose })

const filePlatform = z.strictObject({
  kind: z.literal(PlatformKind.File).meta({ description: 'Reads the documents from two local files.' }),
  fleetPath: textField('File with the fleet configuration.'),
  hostsPath: textField('File with the host list.'),
  rereadMs: integerField(10, Unit.Milliseconds, 'Interval between reads when no file change is reported.')
    .default(DEFAULTS.rereadMs)
})

const httpPlatform = z.strictObject({
  kind: z.literal(PlatformKind.Http).meta({ description: 'Reads the documents with blocking queries over HTTP, as Consul serves them.' }),
  url: urlField('Base URL of the service.'),
  fleetKey: textField('Key of the fleet configuration.').default('jaymill/fleet'),
  hostsKey: textField('Key of the host list.').default('jaymill/hosts'),
  token: secret('Token sent as X-Consul-Token.').optional(),
  waitMs: integerField(1_000, Unit.Milliseconds, 'Maximum time for which the service may hold a query open.')
    .default(DEFAULTS.waitMs),
  requestTimeoutMs: integerField(100, Unit.Milliseconds, 'Timeout of a query, in addition to its wait time.')
    .default(DEFAULTS.requestTimeoutMs),
  maxBackoffMs: integerField(100, Unit.Milliseconds, 'Maximum backoff after failures.').default(DEFAULTS.maxBackoffMs),
  hostReadsPerSecond: positiveNumberField(Unit.PerSecond, 'Maximum read rate of one host.').default(DEFAULTS.hostReadsPerSecond),
  fleetReadsPerSecond: positiveNumberField(Unit.PerSecond, 'Maximum read rate of all listed hosts together.')
    .default(DEFAULTS.fleetReadsPerSecond)
})

const limits = z.strictObject({
  headerBytes: integerField(1_024, Unit.Bytes, 'Maximum size of the request headers.').default(DEFAULTS.headerBytes),
  bodyBytes: integerField(1, Unit.Bytes, 'Maximum size of a request body that is buffered in memory.')
    .default(DEFAULTS.bodyBytes),
  callerStallMs: integerField(10, Unit.Milliseconds, 'Time without reads after which a caller is treated as disconnected.')
    .default(DEFAULTS.callerStallMs),
  queueRequests: integerField(1, Unit.Requests, 'Maximum number of queued requests per class and pool.')
    .default(DEFAULTS.queueRequests),
  queueBytes: integerField(1, Unit.Bytes, 'Maximum total size of request bodies buffered in memory.')
    .default(DEFAULTS.queueBytes),
  clockSkewMs: integerField(0, Unit.Milliseconds, 'Maximum clock skew within the fleet.')
    .default(DEFAULTS.clockSkewMs),
  keyRecordMs: integerField(1_000, Unit.Milliseconds, 'Retention time of the outcome of an idempotency key.')
    .default(DEFAULTS.keyRecordMs),
  keyRecords: integerField(1, Unit.Records, 'Maximum number of retained idempotency keys.').default(DEFAULTS.keyRecords)
})

/** Schema of the settings of one host. */
export const hostSettingsSchema = z.strictObject({
  host: z.strictObject({
    id: idField('Id of this host, as in the published host list.'),
    zone: idField('Availability zone.'),
    region: idField('Region.'),
    incarnation: integerField(1, Unit.None, 'Number that increases with every start; the start time when absent.').optional()
  }).meta({ description: 'Identity of this host.' }),
  listen: z.strictObject({
    caller: listener('Listener for callers.'),
    peer: listener('Listener for other hosts.'),
    admin: listener('Listener for operators.'),
    metrics: listener('Listener for metrics.')
  }).meta({ description: 'Listeners.' }),
  platform: z.discriminatedUnion('kind', [filePlatform, httpPlatform]).meta({ description: 'Configuration source.' }),
  credentials: z.strictObject({
    peerToken: secret('Token that hosts use to authenticate to each other.'),
    adminToken: secret('Token that operators use to authenticate.')
  }).meta({ description: 'Secrets.' }),
  tls: z.strictObject({
    keyPath: textField('Private key, PEM.'),
    certPath: textField('Certificate chain, PEM.'),
    caPath: textField('CA certificates that peers are verified against, PEM.').optional()
  }).optional().meta({ description: 'TLS of the peer and admin listeners; plain TCP when absent.' }),
  limits: limits.prefault({}).meta({ description: 'Bounds.' }),
  drainDeadlineMs: integerField(0, Unit.Milliseconds, 'Time after which a graceful stop with unfinished requests is reported.')
    .default(DEFAULTS.drainDeadlineMs),
  log: z.strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info).meta({ description: 'Lowest severity that is logged.' })
  }).prefault({}).meta({ description: 'Logging.' })
})

/** Settings of one host, with defaults filled in. */
export type HostSettings = z.output<typeof hostSettingsSchema>
/** Settings of the configuration source. */
export type PlatformSettings = HostSettings['platform']
/** Settings of a configuration source that serves blocking queries over HTTP. */
export type HttpPlatformSettings = z.output<typeof httpPlatform>
/** Settings of a configuration source that consists of local files. */
export type FilePlatformSettings = z.output<typeof filePlatform>
/** Location of a secret; exactly one member is set. */
export type SecretSource = HostSettings['credentials']['peerToken']
/** Address and port of a listener. */
export type ListenSettings = HostSettings['listen']['caller']
