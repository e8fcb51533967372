/**
 * The leader's record of one controller that serves workers, and how the controller's updates change it. Updates arrive in
 * order; a gap in their sequence numbers means that acknowledgements were lost and will not be reported again.
 */
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { HeartbeatServerFacts } from "../term/leaseProofs.js";

/** The leader's record of one controller. Times are in the leader's steady time; -Infinity means never. */
export interface HeartbeatServerRecord extends HeartbeatServerFacts {
  /** Time after which the controller does not acknowledge workers of its own zone either. */
  zoneLeaseUntilMs: number;
  /** Time before which the controller may have acknowledged its own zone's workers under an earlier leader's zone lease. */
  zoneAcknowledgementsUnknownBeforeMs: number;
  /** Identifies the controller's process; a restart changes it. */
  incarnation: number;
  /** Sequence number of the controller's last update in this term; 0 before the first one is applied. */
  sequence: number;
  /** Number of workers that the controller serves, as of its last update. */
  workerCount: number;
  /** Event loop lag of the controller in milliseconds, as of its last update. */
  lagMs: number;
  /** Time at which the controller's last update arrived. */
  lastUpdateMs: number;
  /** Time at which the controller's last grant was issued. */
  lastGrantMs: number;
  /** Time since which the leader lacks heartbeats that the controller must send again; Infinity if none are missing. */
  resyncNeededSinceMs: number;
  /** Time at which the first update of the controller's current process arrived. */
  incarnationFirstUpdateMs: number;
  /** Time up to which the leader knows every cancellation that the controller's current process confirmed to users. */
  cancellationsKnownUntilMs: number;
  /** Sequence number of the last cancellation of the controller's current process that the leader knows. */
  cancellationSeq: number;
}

/** Creates the record of a controller whose first update of this term has arrived. Does not apply the update itself. */
export function newServerRecord(update: HeartbeatServerUpdate, nowMs: number): HeartbeatServerRecord {
  return {
    grantUntilMs: -Infinity,
    zoneLeaseUntilMs: -Infinity,
    // Before its first update of this term, the controller revoked all rights granted by earlier leaders.
    zoneAcknowledgementsUnknownBeforeMs: nowMs,
    // In this term it cannot have acknowledged anything before its first grant.
    acknowledgementsKnownUntilMs: nowMs,
    acknowledgementsUnknownBeforeMs: -Infinity,
    incarnation: update.incarnation,
    sequence: 0,
    workerCount: 0,
    lagMs: 0,
    lastUpdateMs: nowMs,
    lastGrantMs: -Infinity,
    resyncNeededSinceMs: Infinity,
    incarnationFirstUpdateMs: nowMs,
    cancellationsKnownUntilMs: -Infinity,
    cancellationSeq: 0,
  };
}

/** Applies an update to the record, except for its cancellations. */
export function applyUpdateToRecord(
  record: HeartbeatServerRecord,
  update: HeartbeatServerUpdate,
  nowMs: number,
): void {
  detectGap(record, update, nowMs);
  if (record.incarnation !== update.incarnation) beginIncarnation(record, update.incarnation, nowMs);
  record.sequence = update.sequence;
  record.acknowledgementsKnownUntilMs = Math.max(
    record.acknowledgementsKnownUntilMs,
    Math.min(update.lastGrantIssuedAtMs, nowMs),
  );
  record.workerCount = update.workerCount;
  record.lagMs = update.lagMs;
  record.lastUpdateMs = nowMs;
}

/** Detects lost updates by the sequence number: their acknowledgements stay unknown, and a resync is requested. */
function detectGap(record: HeartbeatServerRecord, update: HeartbeatServerUpdate, nowMs: number): void {
  const isNext = record.incarnation === update.incarnation && update.sequence === record.sequence + 1;
  if (!isNext) {
    // A restarted process may have lost acknowledgements, too, and its first update may arrive after a grant that was
    // issued to the previous process.
    if (record.grantUntilMs > -Infinity) record.acknowledgementsUnknownBeforeMs = nowMs;
    if (update.sequence !== 1) record.resyncNeededSinceMs = nowMs;
  } else if (update.lastResyncIssuedAtMs >= record.resyncNeededSinceMs) {
    // The resync stays requested until it has been carried out. When it was requested only once, and the request was lost
    // or came too late for a stalled controller, a machine whose last changed heartbeat had been lost appeared unchanged,
    // and its job never completed.
    record.resyncNeededSinceMs = Infinity;
  }
}

function beginIncarnation(record: HeartbeatServerRecord, incarnation: number, nowMs: number): void {
  record.incarnation = incarnation;
  record.incarnationFirstUpdateMs = nowMs;
  record.cancellationsKnownUntilMs = -Infinity;
  record.cancellationSeq = 0;
}

/** Records that the cancellations reported by an update have been applied. */
export function applyCancellationsToRecord(
  record: HeartbeatServerRecord,
  update: HeartbeatServerUpdate,
  nowMs: number,
): void {
  if (record.incarnation !== update.incarnation) return;
  record.cancellationSeq = Math.max(record.cancellationSeq, update.cancellationSeq);
  // A cancellation confirmed after the grant arrived was confirmed after the time at which the grant was issued.
  if (update.cancellationsComplete)
    record.cancellationsKnownUntilMs = Math.max(
      record.cancellationsKnownUntilMs,
      Math.min(update.lastGrantIssuedAtMs, nowMs),
    );
}
