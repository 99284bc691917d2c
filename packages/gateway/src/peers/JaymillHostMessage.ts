import { decode, encode } from '@msgpack/msgpack'
import { QuotaScope, type AccountUse, type CrashReport, type DemandShare, type EndpointChange, type FactorShare, type LoadShare, type ReportedRateLimit } from '@jaymill/core'
import { MAX_ACCOUNT_USES, MAX_HOST_LIMITS, MAX_REPORTED_CALLS } from './constants.js'
import { packAddresses, unpackAddresses } from './JaymillPackedAddresses.js'

/** Hosts of one availability zone. */
export interface ZoneHosts {
  readonly zone: string
  /** IP addresses of the live hosts. */
  readonly addresses: readonly string[]
  /** Those of them that follow the configuration source and whose last request to it succeeded. */
  readonly connected: readonly string[]
}

/** Endpoint changes of one update. */
export interface ChangeBatch {
  /** Revision that the changes apply to. */
  readonly baseRevision: number
  readonly changes: readonly EndpointChange[]
}

/** Whose work a message reports. */
export enum WorkScope {
  /** No work. */
  None = 0,
  /** The work of the sender. */
  Host = 1,
  /** The work of the hosts that report to the sender, and of the sender. */
  Zone = 2,
  /** The work of all hosts. */
  Fleet = 3,
  /** No work, but a relay's list of the live hosts. */
  Hosts = 4
}

/** Work in progress, as hosts report it to each other. */
export interface ReportedWork {
  readonly scope: WorkScope
  /** Work of a large fleet is split into several messages, each with other endpoints. */
  readonly part: number
  readonly parts: number
  /** Running work at each endpoint. */
  readonly load: readonly LoadShare[]
  /** How long the calls of endpoints took, relative to those of similar ones; only of a large fleet. */
  readonly factors: readonly FactorShare[]
  /** Prefills on decode engines. */
  readonly directPrefills: readonly LoadShare[]
  /** Demand of callers for each service; only in the first part. */
  readonly demand: readonly DemandShare[]
  /** Engines that have been ordered to change their role; only in the first part. */
  readonly changing: readonly string[]
}

/** Use of the quotas of client accounts. */
export interface ReportedQuotas {
  readonly scope: QuotaScope
  readonly uses: readonly AccountUse[]
}

/** Message between hosts. Each one is complete by itself, so that the next one makes up for a lost one. */
export interface HostMessage {
  /** IP address of the sender. */
  readonly from: string
  /** Availability zone of the sender. */
  readonly zone: string
  /** Start of the sender's process, in milliseconds since the Unix epoch. */
  readonly born: number
  /** Increases with each message of one process. */
  readonly seq: number
  /** Whether the sender follows the configuration source and its last request succeeded. */
  readonly connected: boolean
  /** Whether the receiver has to reply at once. */
  readonly ask: boolean
  /** Whether the sender is shutting down. */
  readonly leaving: boolean
  /** Version of the active configuration of the sender. */
  readonly config: number
  /** Revision of the endpoints on the sender. */
  readonly revision: number
  /** Time for which the sender still retains records that expired during an outage of the source, in milliseconds. */
  readonly graceMs: number
  /** Highest fencing token that the sender has observed. */
  readonly fence: number
  /** Latest endpoint changes, as far as they fit into a datagram. */
  readonly batches: readonly ChangeBatch[]
  /** Live hosts known to the sender; only the lists of relays prove that a host is alive, since a relay has heard from it. */
  readonly hosts: readonly ZoneHosts[]
  readonly work: ReportedWork
  /** Crashes of endpoints and what is known about their causes; absent when there is nothing to report. */
  readonly crashes?: CrashReport
  /** Rate limits that endpoints have named, and how much this host uses of them. */
  readonly limits: readonly ReportedRateLimit[]
  /** Use of the quotas of client accounts; absent when there is nothing to report. */
  readonly quotas?: ReportedQuotas
}

/** First element of each datagram; changes with the format. */
const FORMAT = 1

const RATE_DECIMALS = 100
const LEVEL_DECIMALS = 1_000
const FACTOR_DECIMALS = 10

type WireShare = readonly [endpointId: string, requests: number, tokens: number]
type WireDemand = readonly [service: string, promptRate: number, kvRate: number, waitingTokens: number]
type WireHosts = readonly [zone: string, addresses: Uint8Array, connected: Uint8Array]
type WireWork = readonly [
  scope: number, part: number, parts: number, load: readonly WireShare[], directPrefills: readonly WireShare[],
  demand: readonly WireDemand[], changing: readonly string[], crashes: WireCrashes | null, limits: readonly WireLimit[],
  quotas: WireQuotas | null, factors: readonly WireFactor[]
]

type WireFactor = readonly [endpointId: string, calls: number, factors: number]

/** The level is `null` when it is not known. */
type WireUse = readonly [account: string, used: number, demandPerS: number, recent: number, level: number | null]
type WireQuotas = readonly [scope: QuotaScope, uses: readonly WireUse[]]

/** `null` for a limit that has been lifted. */
type WireLimit = readonly [endpointId: string, perS: number | null, ageMs: number, sent: number]

/** Follows the work, as all that comes behind them does, since hosts of earlier versions refuse further elements of a message but ignore them there. */
type WireCrashes = readonly [
  crashes: CrashReport['crashes'], quarantined: CrashReport['quarantined'], provenParts: CrashReport['provenParts'],
  provenRequests: CrashReport['provenRequests']
]
type WireMessage = readonly [
  format: number, from: string, zone: string, born: number, seq: number, connected: boolean, ask: boolean, leaving: boolean,
  config: number, revision: number, graceMs: number, fence: number, batches: readonly ChangeBatch[], hosts: readonly WireHosts[],
  work: WireWork
]

const WIRE_ELEMENTS = 15

/**
 * Encodes a message. Arrays without field names keep it within one datagram.
 *
 * @param message - The message.
 * @returns Payload of a datagram.
 */
export function encodeHostMessage (message: HostMessage): Uint8Array {
  const { from, zone, born, seq, connected, ask, leaving, config, revision, graceMs, fence, batches, hosts, work, crashes, limits, quotas } = message
  const wire: WireMessage = [
    FORMAT, from, zone, born, seq, connected, ask, leaving, config, revision, Math.round(graceMs), fence, batches,
    hosts.map(list => [list.zone, packAddresses(list.addresses), packAddresses(list.connected)]),
    toWireWork(work, crashes, limits, quotas)
  ]
  return encode(wire)
}

/**
 * Decodes a message.
 *
 * @param bytes - Payload of a datagram.
 * @returns The message, or `undefined` when the payload is malformed or has another format.
 */
export function decodeHostMessage (bytes: Uint8Array): HostMessage | undefined {
  try {
    const wire = decode(bytes)
    return isWireMessage(wire) ? toMessage(wire) : undefined
  } catch {
    return undefined
  }
}

function isWireMessage (wire: unknown): wire is WireMessage {
  if (!Array.isArray(wire) || wire.length !== WIRE_ELEMENTS || wire[0] !== FORMAT) return false
  const [, from, zone, born, seq, , , , config, revision, graceMs, fence] = wire as readonly unknown[]
  return typeof from === 'string' && typeof zone === 'string' && [born, seq, config, revision, graceMs, fence].every(Number.isFinite)
}

function toMessage (wire: WireMessage): HostMessage {
  const [, from, zone, born, seq, connected, ask, leaving, config, revision, graceMs, fence, batches, hosts, work] = wire
  const [scope, part, parts, load, directPrefills, demand, changing, crashes, limits, quotas, factors] = work
  return {
    from,
    zone,
    born,
    seq,
    connected,
    ask,
    leaving,
    config,
    revision,
    graceMs,
    fence,
    batches: [...batches],
    hosts: hosts.map(([name, addresses, connectedAddresses]) => (
      { zone: name, addresses: unpackAddresses(addresses), connected: unpackAddresses(connectedAddresses) }
    )),
    work: {
      scope,
      part,
      parts,
      load: load.map(toShare),
      factors: Array.isArray(factors) ? factors.filter(isWireFactor).map(toFactor) : [],
      directPrefills: directPrefills.map(toShare),
      demand: demand.map(toDemand),
      changing: [...changing]
    },
    ...(Array.isArray(crashes) ? { crashes: toCrashReport(crashes as WireCrashes) } : {}),
    limits: Array.isArray(limits) ? limits.slice(0, MAX_HOST_LIMITS).filter(isWireLimit).map(toLimit) : [],
    ...(isWireQuotas(quotas) ? { quotas: toQuotas(quotas) } : {})
  }
}

function toWireWork (work: ReportedWork, crashes: CrashReport | undefined, limits: readonly ReportedRateLimit[], quotas: ReportedQuotas | undefined): WireWork {
  const { scope, part, parts, changing } = work
  return [
    scope, part, parts, work.load.map(toWireShare), work.directPrefills.map(toWireShare), work.demand.map(toWireDemand), changing,
    crashes === undefined ? null : [crashes.crashes, crashes.quarantined, crashes.provenParts, crashes.provenRequests],
    limits.map(({ endpointId, perS, ageMs, sent }) => [endpointId, perS ?? null, Math.round(ageMs), sent]),
    quotas === undefined ? null : [quotas.scope, quotas.uses.map(toWireUse)],
    work.factors.map(({ endpointId, calls, factors }) => [endpointId, Math.round(calls * FACTOR_DECIMALS), Math.round(factors * FACTOR_DECIMALS)])
  ]
}

function isWireFactor (factor: unknown): factor is WireFactor {
  if (!Array.isArray(factor)) return false
  const [endpointId, calls, factors] = factor as readonly unknown[]
  return typeof endpointId === 'string' && [calls, factors].every(value => typeof value === 'number' && value >= 0 && value <= MAX_REPORTED_CALLS)
}

function toFactor ([endpointId, calls, factors]: WireFactor): FactorShare {
  return { endpointId, calls: calls / FACTOR_DECIMALS, factors: factors / FACTOR_DECIMALS }
}

function toWireUse ({ account, used, demandPerS, recent, level }: AccountUse): WireUse {
  return [account, Math.round(used), Math.round(demandPerS * RATE_DECIMALS), Math.round(recent), level === undefined ? null : Math.round(level * LEVEL_DECIMALS)]
}

function isWireQuotas (quotas: unknown): quotas is WireQuotas {
  if (!Array.isArray(quotas)) return false
  const [scope, uses] = quotas as readonly unknown[]
  return Object.values(QuotaScope).includes(scope as QuotaScope) && Array.isArray(uses)
}

function isWireUse (use: unknown): use is WireUse {
  if (!Array.isArray(use)) return false
  const [account, used, demandPerS, recent, level] = use as readonly unknown[]
  return typeof account === 'string' && Number.isFinite(used) && [demandPerS, recent].every(value => Number.isFinite(value) && Number(value) >= 0) && (level === null || Number.isFinite(level))
}

function toQuotas ([scope, uses]: WireQuotas): ReportedQuotas {
  return { scope, uses: uses.slice(0, MAX_ACCOUNT_USES).filter(isWireUse).map(toUse) }
}

function toUse ([account, used, demandPerS, recent, level]: WireUse): AccountUse {
  return { account, used, demandPerS: demandPerS / RATE_DECIMALS, recent, ...(level === null ? {} : { level: level / LEVEL_DECIMALS }) }
}

function isWireLimit (limit: unknown): limit is WireLimit {
  if (!Array.isArray(limit)) return false
  const [endpointId, perS, ageMs, sent] = limit as readonly unknown[]
  return typeof endpointId === 'string' && [perS ?? 0, ageMs, sent].every(value => typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY)
}

function toLimit ([endpointId, perS, ageMs, sent]: WireLimit): ReportedRateLimit {
  return { endpointId, perS: perS ?? undefined, ageMs, sent }
}

function toCrashReport ([crashes, quarantined, provenParts, provenRequests]: WireCrashes): CrashReport {
  return { crashes, quarantined, provenParts, provenRequests }
}

function toWireShare ({ endpointId, requests, tokens }: LoadShare): WireShare {
  return [endpointId, requests, Math.round(tokens)]
}

function toShare ([endpointId, requests, tokens]: WireShare): LoadShare {
  return { endpointId, requests, tokens }
}

function toWireDemand ({ service, promptRate, kvRate, waitingTokens }: DemandShare): WireDemand {
  return [service, Math.round(promptRate * RATE_DECIMALS), Math.round(kvRate * RATE_DECIMALS), Math.round(waitingTokens)]
}

function toDemand ([service, promptRate, kvRate, waitingTokens]: WireDemand): DemandShare {
  return { service, promptRate: promptRate / RATE_DECIMALS, kvRate: kvRate / RATE_DECIMALS, waitingTokens }
}
