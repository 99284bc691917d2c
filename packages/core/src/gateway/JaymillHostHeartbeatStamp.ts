/** Position of a heartbeat among those of its sender. */
export interface HostHeartbeatStamp {
  /** Start time of the sender's process by its own wall clock, in milliseconds since the Unix epoch. */
  readonly born: number
  /** Increases with each heartbeat of one process. */
  readonly seq: number
}

/**
 * Checks whether a heartbeat is newer than the latest one of its sender. The sender's wall clock may have been set back
 * between two starts, so a heartbeat with an earlier start time is accepted once the sender has timed out.
 *
 * @param heartbeat - Stamp of the received heartbeat.
 * @param latest - Stamp of the newest heartbeat so far.
 * @param live - Whether the sender has sent a heartbeat recently.
 * @returns Whether to process the heartbeat.
 */
export function isNewerHostHeartbeat (heartbeat: HostHeartbeatStamp, latest: HostHeartbeatStamp, live: boolean): boolean {
  if (heartbeat.born === latest.born) return heartbeat.seq > latest.seq
  return heartbeat.born > latest.born || !live
}
