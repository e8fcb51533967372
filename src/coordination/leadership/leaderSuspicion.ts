/**
 * Decides when a leader whose host refuses connections is assumed to have failed, so that its leadership lease is ended
 * early. The assumption may be wrong, which is safe: write conditions, fencing tokens and lease times bound what such a
 * leader may still do.
 */

/** A suspicion that is not confirmed within this time is dropped, as the leader's lease has expired or been renewed. */
export const SUSPICION_MS = 4000;
/** Interval at which a leader rewrites its record while all other hosts refuse its connections. */
export const LIVENESS_WRITE_MS = 300;
/** A live leader would have made its next liveness write within this time, so a leader without any write has failed. */
const QUIET_MS = 450;

/** The result of one read of the leadership record. */
export interface LeadershipRead {
  leader: string;
  term: number;
  /** Revision of the state store, which grows with every change by any client. */
  revision: number;
  /** Steady time at which the read was sent. */
  sentMs: number;
}

/** The event that raises a suspicion: a link to the leader has closed and the leader's host refuses a new connection. */
export interface ConnectionRefusal {
  leader: string;
  term: number;
  /**
   * True if links to other controllers are open, so that this controller's own links are not at fault, or if there are no
   * other controllers. The refusal alone then confirms the failure.
   */
  othersReachable: boolean;
  /** Steady time of the refusal. */
  sinceMs: number;
}

interface Suspicion extends ConnectionRefusal {
  /** The newest revision read since the refusal and the time it was first received, or null before the first read. */
  lastRead: { revision: number; receivedMs: number } | null;
}

/** Holds the newest suspicion and confirms or drops it with each read of the leadership record. */
export class LeaderSuspicion {
  private suspicion: Suspicion | null = null;

  raise(refused: ConnectionRefusal): void {
    this.suspicion = { ...refused, lastRead: null };
  }

  /**
   * Returns true if the leader that was read is to be assumed failed. With links to other controllers open, a refusal is
   * enough. When all hosts refuse connections, only the network may have failed, and a live leader keeps writing: the
   * failure is then confirmed once two reads show no write in between. Without the second case, the only surviving
   * controller waited until the leadership lease expired, which with hundreds of workers used a third of the time left on
   * their leases.
   */
  isConfirmedBy(read: LeadershipRead, nowMs: number): boolean {
    const { suspicion } = this;
    if (!suspicion) return false;
    const isStale = nowMs - suspicion.sinceMs > SUSPICION_MS;
    if (isStale || read.leader !== suspicion.leader || read.term !== suspicion.term) {
      this.suspicion = null;
      return false;
    }
    const { lastRead } = suspicion;
    const isQuiet =
      lastRead !== null &&
      read.revision === lastRead.revision &&
      read.sentMs - lastRead.receivedMs >= QUIET_MS;
    if (lastRead?.revision !== read.revision)
      suspicion.lastRead = { revision: read.revision, receivedMs: nowMs };
    const isConfirmed = suspicion.othersReachable || isQuiet;
    if (isConfirmed) this.suspicion = null;
    return isConfirmed;
  }
}
