import { HeldBytes } from '@jaymill/core'

/** Memory of the objects of one request, from its header to the end of its response. */
export class RequestMemory {
  /** What its objects count as toward the budget of the host, in bytes. */
  readonly bytes: number
  private readonly _move: (from: HeldBytes, to: HeldBytes) => void
  private readonly _release: (kind: HeldBytes) => void
  private _kind = HeldBytes.Whole

  /**
   * @param bytes - What its objects count as, in bytes.
   * @param move - Counts its bytes as another kind.
   * @param release - Counts its bytes no more.
   */
  constructor (bytes: number, move: (from: HeldBytes, to: HeldBytes) => void, release: (kind: HeldBytes) => void) {
    this.bytes = bytes
    this._move = move
    this._release = release
  }

  /**
   * Notes what has become of the request.
   *
   * @param kind - `Unfinished` while its body arrives, `Whole` while it runs, `Unread` once it has been refused.
   */
  become (kind: HeldBytes): void {
    this._move(this._kind, kind)
    this._kind = kind
  }

  /** Notes the end of the response. */
  release (): void {
    this._release(this._kind)
  }
}
