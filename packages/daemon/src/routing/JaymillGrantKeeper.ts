import { RESERVATION_RENEW_MS, GrantMark, GrantMarks, SlotOwnership } from '@jaymill/core'
import type { RoutingParts } from './JaymillRoutingParts.js'
import { MESSAGE_TIMEOUT_MS } from './JaymillRoutingTimes.js'
import type { SlotOwner } from './JaymillSlotOwner.js'

const MARKS_IN_MESSAGE = 256

interface HeldGrant extends GrantMark {
  readonly grantedBy: string
}

/** Renews the grants that this host's requests hold, and gives them back. */
export class GrantKeeper {
  private readonly _parts: RoutingParts
  private readonly _owner: SlotOwner
  private readonly _ownership: () => SlotOwnership
  private readonly _held = new Map<string, HeldGrant>()
  private _renewedAtMs = 0

  /**
   * @param parts - Parts of the host.
   * @param owner - Own books.
   * @param ownership - Owners under the host list in force.
   */
  constructor (parts: RoutingParts, owner: SlotOwner, ownership: () => SlotOwnership) {
    this._parts = parts
    this._owner = owner
    this._ownership = ownership
  }

  /**
   * Keeps a grant until it is released.
   *
   * @param mark - Grant.
   * @param grantedBy - Host that granted it.
   * @returns Id for the release.
   */
  hold (mark: GrantMark, grantedBy: string): string {
    const id = `${mark.endpointId}/${mark.grantId}`
    this._held.set(id, { ...mark, grantedBy })
    return id
  }

  /**
   * Gives a held grant back; safe to call twice.
   *
   * @param id - Id from `hold`.
   */
  release (id: string): void {
    const held = this._held.get(id)
    if (held === undefined) return
    this._held.delete(id)
    this._ownersOf(held).forEach(hostId => this.releaseAt(hostId, held))
  }

  /**
   * Releases a grant that may or may not have been made.
   *
   * @param hostId - Host that was asked.
   * @param mark - Grant it may have made, or may still make.
   */
  releaseAt (hostId: string, { endpointId, grantId }: GrantMark): void {
    const marks = this._marks([{ endpointId, grantId }])
    this._send(hostId, () => this._owner.release(marks), signal => this._parts.peers.client(hostId).releaseGrants(marks, signal))
  }

  /** Renews every held grant when it is time to. */
  tick (): void {
    const nowMs = this._parts.clock.nowMs()
    if (nowMs - this._renewedAtMs < RESERVATION_RENEW_MS) return
    this._renewedAtMs = nowMs
    this._heldByOwner().forEach((held, hostId) => this._renewAt(hostId, held))
  }

  private _renewAt (hostId: string, held: readonly HeldGrant[]): void {
    const marks = this._marks(held.slice(0, MARKS_IN_MESSAGE).map(({ endpointId, grantId }) => ({ endpointId, grantId })))
    this._send(hostId, () => this._owner.renew(marks), signal => this._parts.peers.client(hostId).renewGrants(marks, signal))
    if (held.length > MARKS_IN_MESSAGE) this._renewAt(hostId, held.slice(MARKS_IN_MESSAGE))
  }

  private _heldByOwner (): ReadonlyMap<string, readonly HeldGrant[]> {
    const pairs = [...this._held.values()].flatMap(held => this._ownersOf(held).map(hostId => ({ hostId, held })))
    return pairs.reduce((groups, { hostId, held }) =>
      groups.set(hostId, [...groups.get(hostId) ?? [], held]), new Map<string, readonly HeldGrant[]>())
  }

  /** The host that granted it, and the present owner when the list has changed since. */
  private _ownersOf ({ endpointId, grantedBy }: HeldGrant): readonly string[] {
    const { owner, backupOwner } = this._ownership().of(endpointId)
    const unchanged = grantedBy === owner?.id || grantedBy === backupOwner?.id || owner === undefined
    return unchanged ? [grantedBy] : [grantedBy, owner.id]
  }

  private _marks (grants: readonly GrantMark[]): GrantMarks {
    return { from: this._parts.identity.id, incarnation: this._parts.identity.incarnation, grants }
  }

  private _send (hostId: string, here: () => Promise<void>, there: (signal: AbortSignal) => Promise<void>): void {
    if (hostId === this._parts.identity.id) {
      here().catch(err => this._parts.log.error('own grant message failed', { err }))
      return
    }
    const send = async (): Promise<void> => await there(AbortSignal.timeout(MESSAGE_TIMEOUT_MS))
    send().catch(err => this._parts.log.debug('grant message was not delivered', { hostId, err }))
  }
}
