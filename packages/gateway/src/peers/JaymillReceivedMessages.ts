import { QuotaScope } from '@jaymill/core'
import type { CrashReportSchedule } from './JaymillCrashReportSchedule.js'
import type { HostHeartbeatsContext } from './JaymillHostHeartbeats.js'
import { WorkScope, type HostMessage, type ReportedWork } from './JaymillHostMessage.js'
import type { HostEntry, HostTable } from './JaymillHostTable.js'
import { withoutOwn } from './JaymillReportedWork.js'
import { applyWork, forgetWork, partKey, partKeys, type ZoneRelay } from './JaymillZoneRelay.js'

/** Called when another host has a newer configuration or newer endpoints. */
export type NewerStateListener = (hostAddress: string, message: HostMessage) => void

/** State that messages update, and what they lead to. */
export interface ReceivedMessagesContext extends HostHeartbeatsContext {
  readonly table: HostTable
  readonly relay: ZoneRelay
  readonly crashReports: CrashReportSchedule
  /** Work in the last report of this host, which the digests of its relays contain. */
  readonly lastReported: () => ReportedWork
  /** Passes on what is new to the hosts that report to this one, and to the other relays. */
  readonly passOn: () => void
  /** Replies to a host. */
  readonly reply: (ip: string) => void
}

/** Scopes of messages whose lists only name hosts that may exist. */
const UNPROVEN_SCOPES = [WorkScope.None, WorkScope.Host]
const FLEET = 'fleet'

/** Applies the messages of other hosts to the state of this one. */
export class ReceivedMessages {
  private readonly _context: ReceivedMessagesContext
  private readonly _newerStateListeners: NewerStateListener[] = []
  private _fleetParts = 0
  private _fleetDigestMs = Number.NEGATIVE_INFINITY

  /**
   * @param context - State that messages update, and what they lead to.
   */
  constructor (context: ReceivedMessagesContext) {
    this._context = context
  }

  /** Monotonic time of the newest digest of the fleet from a relay, in milliseconds. */
  get fleetDigestMs (): number {
    return this._fleetDigestMs
  }

  /**
   * Adds a listener for newer state on other hosts.
   *
   * @param listener - Called when another host has a newer configuration or newer endpoints.
   */
  onNewerState (listener: NewerStateListener): void {
    this._newerStateListeners.push(listener)
  }

  /**
   * Applies a message of another host.
   *
   * @param message - The message.
   */
  apply (message: HostMessage): void {
    const { from, batches, config, revision, graceMs, fence, ask } = message
    const nowMs = this._context.clock.nowMs()
    const isKnown = this._context.table.has(from)
    const wasLive = isKnown && this._context.table.add(from, nowMs).live
    const entry = this._context.table.receive(message, nowMs)
    if (entry === undefined) return
    if (!wasLive) this._context.log.stateChange('host heard', { peer: from, config, revision })
    this._context.work.roleChanges.observeFencingToken(fence)
    this._context.state.applyBatches(batches, { config, revision, graceMs })
    this._applyCrashes(message, nowMs)
    this._applyLimits(message, nowMs)
    this._applyQuotas(message, nowMs)
    this._applyHosts(message, nowMs)
    this._applyWork(message, entry, nowMs)
    if (ask || !isKnown) this._context.reply(from)
    this._notifyIfNewer(message)
  }

  private _applyCrashes ({ crashes }: HostMessage, nowMs: number): void {
    const { quarantine, onEvidence } = this._context
    if (crashes === undefined || !quarantine.merge(crashes, nowMs)) return
    this._context.crashReports.changed()
    onEvidence()
    this._context.passOn()
  }

  /** A relay passes on what is new, since its hosts may send to the same endpoint. */
  private _applyLimits ({ from, limits }: HostMessage, nowMs: number): void {
    const news = this._context.limits.merge(from, limits, nowMs)
    if (news.length === 0) return
    this._context.onLimits(news)
    this._context.passOn()
  }

  /** Of the relays of another zone, only the one counts whose digest does; a relay builds the picture of the fleet itself. */
  private _applyQuotas ({ from, born, zone, quotas, work }: HostMessage, nowMs: number): void {
    if (work.scope === WorkScope.Hosts) this._fleetDigestMs = nowMs
    if (quotas === undefined) return
    const { scope, uses } = quotas
    const { relay } = this._context
    if (scope === QuotaScope.Zone && relay.relayOf(zone) !== from) return
    if (scope === QuotaScope.Fleet && relay.reporters.length > 0) return
    const source = scope === QuotaScope.Host ? from : scope === QuotaScope.Zone ? zone : FLEET
    this._context.quotas.merge({ source, scope, process: `${from}@${born}` }, uses, nowMs)
  }

  private _applyHosts ({ hosts, work }: HostMessage, nowMs: number): void {
    if (UNPROVEN_SCOPES.includes(work.scope)) hosts.forEach(({ addresses }) => addresses.filter(ip => ip !== this._context.address).forEach(ip => this._context.table.add(ip, nowMs)))
    else this._context.table.applyLists(hosts, nowMs)
  }

  private _applyWork (message: HostMessage, entry: HostEntry, nowMs: number): void {
    const { work } = message
    if (work.scope === WorkScope.Host) {
      const isFirst = this._context.relay.reporters.length === 0
      entry.lastReportMs = nowMs
      applyWork(this._context.work, entry.address, work)
      if (isFirst) this._forgetFleet(0)
    }
    if (work.scope === WorkScope.Zone) this._context.relay.applyZoneDigest(message)
    if (work.scope === WorkScope.Fleet && this._context.relay.reporters.length === 0) {
      this._forgetFleet(work.parts)
      this._fleetParts = work.parts
      applyWork(this._context.work, partKey(FLEET, work.part), withoutOwn(work, this._context.lastReported()))
    }
  }

  /** Drops the parts of the digests of the fleet from a number on. */
  private _forgetFleet (parts: number): void {
    partKeys(FLEET, this._fleetParts).slice(parts).forEach(key => forgetWork(this._context.work, key))
    this._fleetParts = Math.min(this._fleetParts, parts)
  }

  private _notifyIfNewer (message: HostMessage): void {
    const { state } = this._context
    if (message.config <= state.version && message.revision <= state.directory.revision) return
    this._newerStateListeners.forEach(listener => listener(message.from, message))
  }
}
