/**
 * Proofs that a task no longer runs on any machine. Every release of resources or quota and every restart of a task
 * requires one of them (rules `ran_twice`, `quota`, `wrong_place`, `ran_cancelled`).
 */
import { lengthenedByDrift } from "./clockDrift.js";

/** Allows for a worker that kills its tasks shortly after its lease has expired. */
const KILL_MARGIN_MS = 50;

/** The leader's knowledge of a start command that it or an earlier leader may have sent. */
export interface StartFacts {
  /** Highest fencing token under which this leader sent the start command, or -1 if it has not sent one. */
  sentToken: number;
  /** The worker's epoch named in the start command. */
  sentEpoch: number;
  /** True if an earlier leader may have sent a start command that this leader does not know. */
  isInherited: boolean;
}

/** The state of a worker as reported in its heartbeat. */
export interface HeartbeatFacts {
  epoch: number;
  /** Highest fencing token that the worker had seen when it sent the heartbeat. */
  fencingToken: number;
}

/**
 * Returns true if a heartbeat that does not list the task proves that the task is gone. The heartbeat must be the newest
 * one of its machine.
 *
 * A start command still in flight carries at most `sentToken`; an inherited one carries less than `firstTokenOfTerm`. A
 * worker that has seen a higher token refuses the command, so the task stays absent after a heartbeat under that token.
 * The worker also refuses a start command that names a different epoch.
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
 * Returns the steady time from which a worker without further acknowledgements has certainly killed its tasks. Its lease
 * starts when it sends the last acknowledged heartbeat, which is before the acknowledging controller receives it.
 */
export function leaseExpiredFromMs(lastPossibleAckMs: number, leaseS: number): number {
  return lastPossibleAckMs + lengthenedByDrift(leaseS * 1000) + KILL_MARGIN_MS;
}

/** The leader's knowledge of a controller that acknowledges heartbeats under grants, in times of the leader's clock. */
export interface HeartbeatServerFacts {
  /** Time after which the controller acknowledges no heartbeats. */
  grantUntilMs: number;
  /** Time up to which the leader knows all acknowledgements of the controller. */
  acknowledgementsKnownUntilMs: number;
  /** Time before which the controller may have sent acknowledgements that the leader will never learn of. */
  acknowledgementsUnknownBeforeMs: number;
}

/**
 * Returns the steady time at which a worker's lease has certainly expired although other controllers acknowledge
 * heartbeats as well, or Infinity while it is unknown. Searches for an interval of one lease in which certainly no
 * controller has acknowledged the worker. The interval starts after the last known acknowledgement. For each controller,
 * it must end by the time up to which all acknowledgements are known, or start after the grant has expired.
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
  // A later start can move the interval past the known acknowledgements of another controller, so all are checked again.
  for (let hasMoved = true; hasMoved;) {
    hasMoved = false;
    for (const server of facts) {
      const areAcknowledgementsKnown =
        server.acknowledgementsKnownUntilMs >= leaseExpiredFromMs(fromMs, leaseS);
      if (areAcknowledgementsKnown || server.grantUntilMs <= fromMs) continue;
      fromMs = server.grantUntilMs;
      hasMoved = true;
    }
  }
  return leaseExpiredFromMs(fromMs, leaseS);
}
