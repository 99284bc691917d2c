import type { PeerStatus } from '../ports/peers/JaymillHeartbeatHandler.js'

/** Kinds of membership effects. */
export enum MembershipEffectKind {
  /** Send a heartbeat. */
  Send = 'send',
  /** The status or incarnation of another host has changed. */
  PeerChanged = 'peer-changed',
  /** Other hosts have declared this process gone. */
  DeclaredGone = 'declared-gone',
  /** This process was paused; its state may be outdated. */
  Paused = 'paused'
}

/** Heartbeat to send. */
export interface SendEffect {
  readonly kind: MembershipEffectKind.Send
  readonly hostId: string
  readonly peerUrl: string
}

/** Change of the status or incarnation of another host. */
export interface PeerChangedEffect {
  readonly kind: MembershipEffectKind.PeerChanged
  readonly hostId: string
  readonly incarnation: number
  readonly status: PeerStatus
}

/** Other hosts have declared this process gone. */
export interface DeclaredGoneEffect {
  readonly kind: MembershipEffectKind.DeclaredGone
}

/** This process was paused. */
export interface PausedEffect {
  readonly kind: MembershipEffectKind.Paused
  /** Length of the pause, in milliseconds. */
  readonly gapMs: number
}

/** Action or notification that the membership returns to its driver. */
export type MembershipEffect = SendEffect | PeerChangedEffect | DeclaredGoneEffect | PausedEffect
