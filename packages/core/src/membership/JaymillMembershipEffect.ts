import type { PeerStatus } from '../ports/peers/JaymillHeartbeatHandler.js'

/** Kinds of effect of the membership. */
export enum MembershipEffectKind {
  /** A heartbeat is to be sent. */
  Send = 'send',
  /** Another host's status or incarnation has changed. */
  PeerChanged = 'peer-changed',
  /** Other hosts believe that this process is gone. */
  DeclaredGone = 'declared-gone',
  /** This process was paused; what it knows is old. */
  Paused = 'paused'
}

/** Heartbeat to be sent. */
export interface SendEffect {
  readonly kind: MembershipEffectKind.Send
  readonly hostId: string
  readonly peerUrl: string
}

/** Change of another host. */
export interface PeerChangedEffect {
  readonly kind: MembershipEffectKind.PeerChanged
  readonly hostId: string
  readonly incarnation: number
  readonly status: PeerStatus
}

/** Other hosts believe that this process is gone. */
export interface DeclaredGoneEffect {
  readonly kind: MembershipEffectKind.DeclaredGone
}

/** This process was paused. */
export interface PausedEffect {
  readonly kind: MembershipEffectKind.Paused
  /** Length of the pause, in milliseconds. */
  readonly gapMs: number
}

/** What the membership wants done, or wants known. */
export type MembershipEffect = SendEffect | PeerChangedEffect | DeclaredGoneEffect | PausedEffect
