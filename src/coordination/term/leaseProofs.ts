/**
 * Proofs that a task is on no machine any more. Everything that frees resources or quota, or starts a task a second time,
 * goes through one of these (rules `ran_twice`, `quota`, `wrong_place`, `ran_cancelled`).
 */
import { lengthenedByDrift } from "./clockDrift.js";

/** Allowance for a worker that kills its tasks a moment after its lease has expired. */
const KILL_MARGIN_MS = 50;

/** What the leader knows of a start command that it, or an earlier leader, may have sent. */
export interface StartFacts {
  /** Highest fencing token a start command was sent under; -1: this leader has sent none. */
  sentToken: number;
  /** Worker's epoch that the start command named. */
  sentEpoch: number;
  /** An earlier leader may have sent a start command that this one knows nothing of. */
  isInherited: boolean;
}

/** What a heartbeat says of the worker that sent it. */
export interface HeartbeatFacts {
  epoch: number;
  /** Highest fencing token that the worker had seen. */
  fencingToken: number;
}

/**
 * Does a heartbeat that does not list the task prove it gone? The heartbeat must be the newest of its machine.
 *
 * A start command still in flight carries at most `sentToken` (an inherited one: less than `firstTokenOfTerm`). Once the
 * worker has seen a higher token, it refuses such a command, so what its heartbeat says under that higher token stays
 * true. A start command is also refused in any epoch but the one it names.
 */
export function absenceProvesTaskGone(
  start: StartFacts,
  heartbeat: HeartbeatFacts,
  firstTokenOfTerm: number,
): boolean {
  if (start.isInherited)
    return heartbeat.fencingToken >= firstTokenOfTerm && heartbeat.fencingToken > start.sentToken;
  if (start.sentToken < 0) return false;
  return heartbeat.epoch > start.sentEpoch || heartbeat.fencingToken > start.sentToken;
}

/**
 * Steady time from which a silent worker has certainly killed its tasks. Its lease runs from when it sent the last
 * heartbeat that was acknowledged, which is before the acknowledging controller received it.
 */
export function leaseExpiredFromMs(lastPossibleAckMs: number, leaseS: number): number {
  return lastPossibleAckMs + lengthenedByDrift(leaseS * 1000) + KILL_MARGIN_MS;
}

/** What the leader knows of another controller that acknowledges heartbeats under its grants, in the leader's time. */
export interface HeartbeatServerFacts {
  /** After this it acknowledges nothing. */
  grantUntilMs: number;
  /** Every acknowledgement that it gave up to this time is known to the leader. */
  acknowledgementsKnownUntilMs: number;
  /** Before this it may have given acknowledgements that the leader will never know of. */
  acknowledgementsUnknownBeforeMs: number;
}

/**
 * Steady time at which a worker's lease has certainly expired, though other controllers acknowledge heartbeats as well;
 * Infinity while that can't be said. Sought is a time span of a lease's length in which certainly nobody has acknowledged
 * the worker: after the last known acknowledgement, and for each controller either up to where all of its own are known,
 * or after its grant.
 */
export function leaseExpiredEverywhereFromMs(
  lastAckMs: number,
  servers: Iterable<HeartbeatServerFacts>,
  leaseS: number,
): number {
  let fromMs = lastAckMs;
  const facts: HeartbeatServerFacts[] = [];
  for (const server of servers) {
    fromMs = Math.max(fromMs, server.acknowledgementsUnknownBeforeMs);
    facts.push(server);
  }
  // A later beginning can fall behind what another controller is known to have done, so all are looked at again.
  for (let hasMoved = true; hasMoved;) {
    hasMoved = false;
    for (const server of facts) {
      const isKnownSilent = server.acknowledgementsKnownUntilMs >= leaseExpiredFromMs(fromMs, leaseS);
      if (isKnownSilent || server.grantUntilMs <= fromMs) continue;
      fromMs = server.grantUntilMs;
      hasMoved = true;
    }
  }
  return leaseExpiredFromMs(fromMs, leaseS);
}
