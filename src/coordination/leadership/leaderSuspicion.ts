/**
 * Decides when a leader whose host refuses connections is assumed to have failed, so that its leadership lease is ended
 * early. Never a proof that it has: what such a leader may still do is bounded by conditions on its writes, fencing tokens
 * and times in any case.
 */

/** A suspicion that nothing has confirmed for so long is dropped: the leader's lease has expired or been renewed by then. */
export const SUSPICION_MS = 4000;
/** A leader that sees all hosts refuse writes its record this often meanwhile. */
export const LIVENESS_WRITE_MS = 300;
/** Nothing written for so long, though a leader that lives would have made its next liveness write: it has failed. */
const QUIET_MS = 450;

/** What one read of the state store says of the leadership. */
export interface LeadershipRead {
  leader: string;
  term: number;
  /** The state store's revision: counts every change, whoever made it. */
  revision: number;
  sentMs: number;
}

/** What raises a suspicion: a link to the leader has closed, and its host refuses a new one. */
export interface RefusedLeader {
  leader: string;
  term: number;
  /** Links to other controllers stand, so that it is not this controller's own links that are refused. */
  othersReachable: boolean;
  sinceMs: number;
}

interface Suspicion extends RefusedLeader {
  /** The newest revision read since, and when it came in first; null: none yet. */
  newest: { revision: number; receivedMs: number } | null;
}

/** Holds at most one suspicion: the newest. */
export class LeaderSuspicion {
  private suspicion: Suspicion | null = null;

  raise(refused: RefusedLeader): void {
    this.suspicion = { ...refused, newest: null };
  }

  /**
   * True when that leader is to be assumed failed. While links to others stand, at once. When all hosts refuse, it may be
   * the links alone, and a leader that lives goes on writing: so only once nothing was written between two reads. Without
   * this a controller that outlived the leader and all others waited for the leadership lease's expiry, which at hundreds
   * of workers took a third of the time that their leases leave.
   */
  isConfirmedBy(read: LeadershipRead, nowMs: number): boolean {
    const { suspicion } = this;
    if (!suspicion) return false;
    const isStale = nowMs - suspicion.sinceMs > SUSPICION_MS;
    if (isStale || read.leader !== suspicion.leader || read.term !== suspicion.term) {
      this.suspicion = null;
      return false;
    }
    const { newest } = suspicion;
    const isQuiet =
      newest !== null && read.revision === newest.revision && read.sentMs - newest.receivedMs >= QUIET_MS;
    if (newest?.revision !== read.revision) suspicion.newest = { revision: read.revision, receivedMs: nowMs };
    const isConfirmed = suspicion.othersReachable || isQuiet;
    if (isConfirmed) this.suspicion = null;
    return isConfirmed;
  }
}
