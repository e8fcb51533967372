/**
 * What the leader knows of one controller that serves workers, and how that changes with the controller's updates. They
 * arrive in their order; a gap in their numbers means that acknowledgements were lost which nobody will name again.
 */
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { HeartbeatServerFacts } from "../term/leaseProofs.js";

/** Times are the leader's steady time; -Infinity: never. */
export interface HeartbeatServerRecord extends HeartbeatServerFacts {
  /** After this it acknowledges nothing of its own zone's workers either. */
  zoneLeaseUntilMs: number;
  /** Before this it may have acknowledged any of its own zone's workers, under a zone lease of an earlier leader. */
  zoneAcknowledgementsUnknownBeforeMs: number;
  /** Differs in each of its processes. */
  incarnation: number;
  /** Number of its last update in this term. */
  sequence: number;
  /** Workers that it serves, and its event loop's lag, by its last update. */
  machines: number;
  lagMs: number;
  lastUpdateMs: number;
  lastGrantMs: number;
  /** Since when heartbeats of its workers are missing here that it must send again; Infinity: none are. */
  resyncNeededSinceMs: number;
  /** When the first update of its present process arrived. */
  incarnationSinceMs: number;
  /** Every cancellation that its present process confirmed to users before then is known here. */
  cancellationsKnownUntilMs: number;
  /** Number of the last of its process's cancellations that is known here. */
  cancellationSeq: number;
}

/** The record of a controller whose first update of this term has just arrived; the update itself is not applied yet. */
export function newServerRecord(update: HeartbeatServerUpdate, nowMs: number): HeartbeatServerRecord {
  return {
    grantUntilMs: -Infinity,
    zoneLeaseUntilMs: -Infinity,
    // Before it sent its first update of this term, it gave up what an earlier leader had granted.
    zoneAcknowledgementsUnknownBeforeMs: nowMs,
    // In this term it could acknowledge nothing before its first grant.
    acknowledgementsKnownUntilMs: nowMs,
    acknowledgementsUnknownBeforeMs: -Infinity,
    incarnation: update.incarnation,
    sequence: 0,
    machines: 0,
    lagMs: 0,
    lastUpdateMs: nowMs,
    lastGrantMs: -Infinity,
    resyncNeededSinceMs: Infinity,
    incarnationSinceMs: nowMs,
    cancellationsKnownUntilMs: -Infinity,
    cancellationSeq: 0,
  };
}

/** Takes an update into the record, its cancellations apart. */
export function applyUpdateToRecord(
  record: HeartbeatServerRecord,
  update: HeartbeatServerUpdate,
  nowMs: number,
): void {
  noteGap(record, update, nowMs);
  if (record.incarnation !== update.incarnation) beginIncarnation(record, update.incarnation, nowMs);
  record.sequence = update.sequence;
  record.acknowledgementsKnownUntilMs = Math.max(
    record.acknowledgementsKnownUntilMs,
    Math.min(update.lastGrantIssuedAtMs, nowMs),
  );
  record.machines = update.machines;
  record.lagMs = update.lagMs;
  record.lastUpdateMs = nowMs;
}

/** Checks the update's number against the last one's: lost acknowledgements stay unknown, lost heartbeats are requested. */
function noteGap(record: HeartbeatServerRecord, update: HeartbeatServerUpdate, nowMs: number): void {
  const isNext = record.incarnation === update.incarnation && update.sequence === record.sequence + 1;
  if (!isNext) {
    // A process that was restarted may have lost acknowledgements as well, and its first update may follow a grant to the
    // process before.
    if (record.grantUntilMs > -Infinity) record.acknowledgementsUnknownBeforeMs = nowMs;
    if (update.sequence !== 1) record.resyncNeededSinceMs = nowMs;
  } else if (update.lastResyncIssuedAtMs >= record.resyncNeededSinceMs) {
    // Requested until it is carried out. Requested once, and the request lost or too late for a controller that stood still,
    // a machine whose last heartbeat with a change had been lost seemed to have nothing new to say, and its job was never
    // done.
    record.resyncNeededSinceMs = Infinity;
  }
}

function beginIncarnation(record: HeartbeatServerRecord, incarnation: number, nowMs: number): void {
  record.incarnation = incarnation;
  record.incarnationSinceMs = nowMs;
  record.cancellationsKnownUntilMs = -Infinity;
  record.cancellationSeq = 0;
}

/** The cancellations that an update names have been applied. */
export function applyCancellationsToRecord(
  record: HeartbeatServerRecord,
  update: HeartbeatServerUpdate,
  nowMs: number,
): void {
  if (record.incarnation !== update.incarnation) return;
  record.cancellationSeq = Math.max(record.cancellationSeq, update.cancellationSeq);
  // Whatever it confirms after our grant arrived, it confirms after the time at which we issued that grant.
  if (update.cancellationsComplete)
    record.cancellationsKnownUntilMs = Math.max(
      record.cancellationsKnownUntilMs,
      Math.min(update.lastGrantIssuedAtMs, nowMs),
    );
}
