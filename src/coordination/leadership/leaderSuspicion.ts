/**
 * Decides when a leader whose host refuses connections is taken for over, so that its leadership lease is ended early.
 * Never a proof that it is over: what such a leader may still do is bounded by guards, tokens and times in any case.
 */

/** A suspicion that nothing has confirmed for so long is dropped; the leadership lease has ended or been renewed by then. */
export const SUSPICION_MS = 4000;
/** A leader that sees all hosts refuse writes this often meanwhile. */
export const LIVENESS_WRITE_MS = 300;
/** Nothing written for so long, though the leader would show its life: it does not live. */
const QUIET_MS = 450;

/** What one read of the state service says of the leadership. */
export interface LeadershipRead {
  leader: string;
  term: number;
  /** The state service's revision: counts every change, whoever made it. */
  revision: number;
  sentMs: number;
}

interface Suspicion {
  leader: string;
  term: number;
  /** Links to other controllers stand, so that it is not our own links that are refused. */
  othersReachable: boolean;
  sinceMs: number;
  /** The newest revision read since, and when it came in first; null: none yet. */
  newest: { revision: number; receivedMs: number } | null;
}

export class LeaderSuspicion {
  private suspicion: Suspicion | null = null;

  /** A link to the leader has closed, and its host refuses a new one. */
  raise(leader: string, term: number, othersReachable: boolean, nowMs: number): void {
    this.suspicion = { leader, term, othersReachable, sinceMs: nowMs, newest: null };
  }

  /**
   * True when that leader is to be taken for over. While links to others stand, at once. When all hosts refuse, it may
   * be the links alone, and a leader that lives goes on writing: so only once nothing was written between two reads.
   * Without this a controller that outlived the leader and all others waited for the leadership lease to end, which at
   * hundreds of workers took a third of the time that their leases leave.
   */
  isConfirmedBy(read: LeadershipRead, nowMs: number): boolean {
    const { suspicion } = this;
    if (!suspicion) return false;
    const stale = nowMs - suspicion.sinceMs > SUSPICION_MS;
    if (stale || read.leader !== suspicion.leader || read.term !== suspicion.term) {
      this.suspicion = null;
      return false;
    }
    const { newest } = suspicion;
    const nothingWritten =
      newest !== null && read.revision === newest.revision && read.sentMs - newest.receivedMs >= QUIET_MS;
    if (newest?.revision !== read.revision) suspicion.newest = { revision: read.revision, receivedMs: nowMs };
    const confirmed = suspicion.othersReachable || nothingWritten;
    if (confirmed) this.suspicion = null;
    return confirmed;
  }
}
