/** How the owner of a key decided about one arrival of a request. */
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

/** Why a host cannot tell whether a request ran. */
export enum UnknownReason {
  /** The host has started, and too few other hosts have responded yet. */
  Recovering = 'recovering',
  /** The host's latest revision is not active yet. */
  NotActive = 'not-active',
  /** The host holds no lease: too few hosts confirmed the revision recently. */
  NoLease = 'no-lease',
  /** The key was minted before the host became its owner. */
  BeforeTakeOver = 'before-take-over',
  /** The key is older than the retained outcomes. */
  Forgotten = 'forgotten',
  /** The host that received the request does not own the key. */
  NotOwner = 'not-owner',
  /** The request was sent to the endpoint, and its outcome is unknown. */
  OutcomeLost = 'outcome-lost'
}

/** Identity by which the owner of a key recognizes a request. */
export interface KeyedRequest {
  /** Namespace of the key: the account id. */
  readonly scope: string
  /** Idempotency key as the caller sent it. */
  readonly key: string
  /** Hash of method, path and body. */
  readonly fingerprint: string
}

/** Response of an endpoint, stored for replay. */
export interface StoredResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** Permission to run one request once. It is checked again right before the request is sent. */
export interface RunPermit {
  readonly id: string
  /** Revision of the host list under which it was granted. */
  readonly revision: number
}

/** Decision about one arrival of a request. */
export type Decision =
  | { readonly kind: DecisionKind.Run, readonly permit: RunPermit }
  | { readonly kind: DecisionKind.Join, readonly id: string }
  /** `response` is absent when it was incomplete or too large to store. */
  | { readonly kind: DecisionKind.Replay, readonly response?: StoredResponse }
  | { readonly kind: DecisionKind.NotRun }
  | { readonly kind: DecisionKind.Unknown, readonly reason: UnknownReason }
  | { readonly kind: DecisionKind.KeyConflict }
  | { readonly kind: DecisionKind.NotOwner, readonly ownerId: string | undefined }
  | { readonly kind: DecisionKind.KeyRefused }

/**
 * Builds the id of the record of a request.
 *
 * @param req - Request.
 * @returns Key prefixed with its scope.
 */
export function recordId (req: KeyedRequest): string {
  return `${req.scope}/${req.key}`
}
