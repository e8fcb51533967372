/**
 * Proofs that a task is on no machine any more. Everything that frees place or quota, or starts a task a
 * second time, goes through one of these (rules `ran_twice`, `quota`, `wrong_place`, `ran_cancelled`).
 */

/** Steady clocks of different machines drift apart by as much as this. */
export const DRIFT = 0.0005;

export interface StartFacts {
  /** Highest token a start went out under; -1: this leader has sent none. */
  sentToken: number;
  /** Session that the start named. */
  sentEpoch: number;
  /** An older leader may have sent a start that we know nothing of. */
  inherited: boolean;
}

export interface HeartbeatFacts {
  epoch: number;
  fencingToken: number;
}

/**
 * Does a report that does not list the task prove it gone? The report must be the newest of its machine.
 *
 * A start still in flight carries at most `sentToken` (an inherited one: less than our term's first token).
 * Once the worker has seen a higher token, it refuses such a start, so what it reports under that
 * higher token stays true. A start is also refused in any session but the one it names.
 */
export function absenceProves(start: StartFacts, report: HeartbeatFacts, termFloor: number): boolean {
  if (start.inherited) return report.fencingToken >= termFloor && report.fencingToken > start.sentToken;
  if (start.sentToken < 0) return false;
  return report.epoch > start.sentEpoch || report.fencingToken > start.sentToken;
}

/**
 * Steady time from which a silent worker has certainly killed its tasks: its lease runs from when its last
 * answered report was sent, which is before the answering controller received it.
 */
export function leaseOverMs(lastPossibleAckMs: number, leaseS: number): number {
  return lastPossibleAckMs + leaseS * 1000 * (1 + 2 * DRIFT) + 50;
}

/** What the leader knows of another controller that acknowledges reports under its grants, in the leader's time. */
export interface HeartbeatServerFacts {
  /** After this it acknowledges nothing. */
  grantUntilMs: number;
  /** Up to here all that it acknowledged is known. */
  coveredMs: number;
  /** Before this it may have acknowledged anything, and we shall not learn what. */
  blindMs: number;
}

/**
 * Steady time at which the lease of a worker is certainly over, though others acknowledge reports as well; Infinity
 * while that can't be said. Sought is a stretch of a lease's length in which certainly nobody has acknowledged it:
 * after the last acknowledgement known, and for each controller either up to where all of its own are known, or after
 * its grant.
 */
export function leaseOverEverywhereMs(
  lastAckMs: number,
  servers: Iterable<HeartbeatServerFacts>,
  leaseS: number,
): number {
  let fromMs = lastAckMs;
  const open: HeartbeatServerFacts[] = [];
  for (const server of servers) {
    fromMs = Math.max(fromMs, server.blindMs);
    open.push(server);
  }
  for (let moved = true; moved;) {
    moved = false;
    for (const s of open) {
      if (s.coveredMs >= leaseOverMs(fromMs, leaseS) || s.grantUntilMs <= fromMs) continue;
      fromMs = s.grantUntilMs;
      moved = true;
    }
  }
  return leaseOverMs(fromMs, leaseS);
}

/**
 * The right to acknowledge reports is bounded by knowledge of cancellations. Users may have been told right after
 * `knownMs` (the moment up to which the leader knows all that they were told is cancelled) that a job is; no stop need
 * reach its tasks, and they must be gone within `cancelS` all the same (rule `ran_cancelled`): a lease after the last
 * acknowledgement, then, at the latest. So nobody acknowledges anything from the moment that this returns; a machine
 * with a task of a job that is known to be cancelled, from the one counted from that job's cancellation.
 */
export function acknowledgementLimitMs(knownMs: number, cancelS: number, leaseS: number): number {
  return knownMs + (cancelS - leaseS * (1 + 2 * DRIFT)) * 1000 * (1 - 2 * DRIFT) - ACK_MARGIN_MS;
}

/** For what a report takes on its way, timers that fire late, and a worker that kills its tasks a moment after its lease. */
const ACK_MARGIN_MS = 1000;

/** The longest that a controller can ever be given its own zone for. */
export function longestZoneLeaseMs(cancelS: number, leaseS: number): number {
  const ms = Math.floor(acknowledgementLimitMs(0, cancelS, leaseS));
  return ms < MIN_ZONE_LEASE_MS ? 0 : ms;
}

/** A zone for a shorter time than this is no use: a cut is not even noticed in it. */
export const MIN_ZONE_LEASE_MS = 3000;

/** A leader's own lease, counted from when its renewal was sent; we count fast, the service may count slow. */
export function leadershipLeaseUntilMs(renewalSentMs: number, ttlMs: number): number {
  return renewalSentMs + ttlMs * (1 - 2 * DRIFT) - 20;
}

/** Tokens stay exact in a double: 29 bits of term, 24 bits of counter. */
export const TOKENS_PER_TERM = 2 ** 24;
export const ATTEMPTS_PER_TERM = 2 ** 24;

export function firstToken(term: number): number {
  return term * TOKENS_PER_TERM;
}

export function firstAttempt(term: number): number {
  return term * ATTEMPTS_PER_TERM;
}
