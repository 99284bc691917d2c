/** What the owner of a key decided about one arrival of a request. */
export enum DecisionKind {
  Run = 'run',
  Join = 'join',
  Replay = 'replay',
  NotRun = 'not-run',
  Unknown = 'unknown',
  KeyConflict = 'key-conflict',
  NotOwner = 'not-owner',
  KeyRefused = 'key-refused'
}

/** Why an owner can't tell whether a request ran. */
export enum UnknownReason {
  /** The host has started and has not heard enough others yet. */
  Recovering = 'recovering',
  /** The host's revision has not become active yet. */
  NotActive = 'not-active',
  /** Too few hosts confirmed the revision lately. */
  NoLease = 'no-lease',
  /** The key was minted before the host took it over. */
  BeforeTakeOver = 'before-take-over',
  /** The key is older than the outcomes the host remembers. */
  Forgotten = 'forgotten',
  /** The host that was asked does not own the key. */
  NotOwner = 'not-owner',
  /** The call left and its outcome was never learned. */
  OutcomeLost = 'outcome-lost'
}

/** Identity of a request as its owner compares it. */
export interface KeyedRequest {
  /** Namespace of the key: the account. */
  readonly scope: string
  /** Idempotency key as the caller sent it. */
  readonly key: string
  /** Digest of method, path and body. */
  readonly fingerprint: string
}

/** Answer kept for a replay. */
export interface KeptAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** Permission to run one request once; it is checked again right before the send. */
export interface RunPermit {
  readonly id: string
  /** Revision of the host list it was given under. */
  readonly revision: number
}

/** Decision of the owner. */
export type Decision =
  | { readonly kind: DecisionKind.Run, readonly permit: RunPermit }
  | { readonly kind: DecisionKind.Join, readonly id: string }
  /** `answer` is absent when it was cut short or too large to be kept. */
  | { readonly kind: DecisionKind.Replay, readonly answer?: KeptAnswer }
  | { readonly kind: DecisionKind.NotRun }
  | { readonly kind: DecisionKind.Unknown, readonly reason: UnknownReason }
  | { readonly kind: DecisionKind.KeyConflict }
  | { readonly kind: DecisionKind.NotOwner, readonly ownerId: string | undefined }
  | { readonly kind: DecisionKind.KeyRefused }

/**
 * Names the record of a request.
 *
 * @param req - Request.
 * @returns Key with its scope.
 */
export function recordId (req: KeyedRequest): string {
  return `${req.scope}/${req.key}`
}
