import { HostList, HostState } from '../fleet/JaymillHostList.js'
import type { DocumentVersion } from '../ports/peers/JaymillHeartbeatHandler.js'
import type { DocumentKey } from '../ports/JaymillConfigSource.js'
import { HIGH_WATER_CONCURRENCY, HIGH_WATER_RETRY_MS } from './JaymillConfigConstants.js'

/** Why a host must not serve yet. */
export enum GateReason {
  /** No host list is known. */
  NoHostList = 'no-host-list',
  /** Too few of the other hosts have responded. */
  TooFewResponses = 'too-few-answers',
  /** A required document is missing, or another host has a newer revision. */
  Behind = 'behind',
  /** A host that responded has a different text for the same revision. */
  Conflict = 'conflict'
}

/** Whether a host may serve. */
export interface GateState {
  readonly open: boolean
  /** Why the gate is closed. */
  readonly reason?: GateReason
  /** Responses received from listed hosts. */
  readonly answers: number
  /** Number of responses required. */
  readonly needed: number
}

/**
 * Prevents a host that was started or paused from serving under an old revision. The gate opens when enough other listed hosts
 * have reported their document versions that any revision active on a majority was among them, and this host has no older one.
 * It then stays open until `reset`.
 */
export class HighWaterGate {
  private readonly _selfId: string
  private readonly _responses = new Map<string, readonly DocumentVersion[]>()
  private readonly _requestedMs = new Map<string, number>()
  private _otherHosts: readonly string[] | undefined
  private _open = false

  /**
   * @param selfId - Id of this host.
   */
  constructor (selfId: string) {
    this._selfId = selfId
  }

  /**
   * Applies a host list.
   *
   * @param list - Adopted host list; hosts that are leaving are not queried.
   */
  adoptList (list: HostList): void {
    this._otherHosts = list.hosts.filter(({ id, state }) => id !== this._selfId && state === HostState.Live).map(({ id }) => id)
  }

  /**
   * Records the response of a host. It counts while the host is listed, even if only a later list adds the host.
   *
   * @param hostId - Host that responded.
   * @param versions - Versions of its active documents.
   */
  receive (hostId: string, versions: readonly DocumentVersion[]): void {
    this._responses.set(hostId, versions)
  }

  /** Closes the gate and discards all responses, after a pause of the process. */
  reset (): void {
    this._open = false
    this._responses.clear()
    this._requestedMs.clear()
  }

  /**
   * Selects the hosts to query and records the requests.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Ids of the hosts to query now; empty once the gate is open.
   */
  dueHosts (nowMs: number): string[] {
    if (this._open) return []
    const waiting = (this._otherHosts ?? []).filter(id => !this._responses.has(id))
    const pending = waiting.filter(id => nowMs - this._lastRequestMs(id) < HIGH_WATER_RETRY_MS)
    const selected = waiting
      .filter(id => !pending.includes(id))
      .sort((a, b) => this._lastRequestMs(a) - this._lastRequestMs(b))
      .slice(0, Math.max(0, HIGH_WATER_CONCURRENCY - pending.length))
    selected.forEach(id => this._requestedMs.set(id, nowMs))
    return selected
  }

  /**
   * Decides whether the gate is open.
   *
   * @param own - Versions of the documents that are active on this host.
   * @param required - Documents that the host needs to serve.
   * @returns Whether the host may serve.
   */
  state (own: readonly DocumentVersion[], required: readonly DocumentKey[]): GateState {
    const responded = (this._otherHosts ?? []).filter(id => this._responses.has(id))
    const needed = requiredResponses(this._otherHosts?.length ?? 0)
    const counts = { answers: responded.length, needed }
    if (this._open) return { open: true, ...counts }
    const reason = this._closedReason(responded, needed, own, required)
    this._open = reason === undefined
    return reason === undefined ? { open: true, ...counts } : { open: false, reason, ...counts }
  }

  private _closedReason (
    responded: readonly string[], needed: number, own: readonly DocumentVersion[], required: readonly DocumentKey[]
  ): GateReason | undefined {
    if (this._otherHosts === undefined) return GateReason.NoHostList
    if (responded.length < needed) return GateReason.TooFewResponses
    const received = [...this._responses.values()].flat()
    const missing = required.some(key => own.every(version => version.key !== key))
    if (missing || received.some(version => isNewer(version, own))) return GateReason.Behind
    return received.some(version => hasOtherDigest(version, own)) ? GateReason.Conflict : undefined
  }

  private _lastRequestMs (id: string): number {
    return this._requestedMs.get(id) ?? Number.NEGATIVE_INFINITY
  }
}

/**
 * Returns how many responses intersect every majority of a list of `others + 1` hosts, even a majority that includes an earlier
 * incarnation of this host.
 *
 * @param others - Number of other listed hosts.
 * @returns Number of responses required.
 */
export function requiredResponses (others: number): number {
  return Math.min(others, Math.ceil((others + 1) / 2))
}

function isNewer (version: DocumentVersion, own: readonly DocumentVersion[]): boolean {
  return own.every(({ key, revision }) => key !== version.key || revision < version.revision)
}

function hasOtherDigest (version: DocumentVersion, own: readonly DocumentVersion[]): boolean {
  return own.some(({ key, revision, digest }) => key === version.key && revision === version.revision && digest !== version.digest)
}
