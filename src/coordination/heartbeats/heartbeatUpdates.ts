/**
 * Batches what a heartbeat server has acknowledged into updates for the leader. Every acknowledgement is named in exactly
 * one update, and the updates of a term are numbered without a gap: the leader's proofs by lease expiry count on it
 * (rule `ran_twice`).
 */
import type { Heartbeat, ReceivedHeartbeat, UnchangedHeartbeat } from "../../protocol/model.js";
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { CancellationUpdate, ConfirmedCancellations } from "./confirmedCancellations.js";
import type { ServedWorker } from "./servedWorkers.js";

/** Tasks in the heartbeats of one frame; a frame has to stay far below the largest that peers accept. */
const MAX_TASKS_PER_FRAME = 1200;
/** A heartbeat without tasks takes as much of a frame as so many tasks. */
const HEARTBEAT_SIZE_IN_TASKS = 5;

/** Only the last update of a batch names cancellations. */
const NO_CANCELLATIONS: CancellationUpdate = {
  cancellations: [],
  cancellationSeq: 0,
  cancellationsComplete: false,
};

/** What the updates say of their sender. */
export interface HeartbeatUpdatesContext {
  node: string;
  /** Different in each process. */
  incarnation: number;
  cancellations: ConfirmedCancellations;
  lagMs: () => number;
}

/** Owns the acknowledged heartbeats that the leader does not know yet, and the numbers of the updates. */
export class HeartbeatUpdates {
  /** Workers whose newest heartbeat says nothing new. */
  private readonly unchanged = new Map<string, UnchangedHeartbeat>();
  /** Workers whose newest heartbeat the leader needs in full. */
  private readonly changed = new Map<string, ServedWorker>();
  private sequence = 0;
  private lastGrantIssuedAtMs = 0;
  private lastResyncIssuedAtMs = 0;

  constructor(private readonly context: HeartbeatUpdatesContext) {}

  /** A new term: numbers begin anew, and its leader has issued nothing yet. */
  beginTerm(): void {
    this.lastGrantIssuedAtMs = 0;
    this.lastResyncIssuedAtMs = 0;
    this.sequence = 0;
    this.unchanged.clear();
  }

  /** A grant that the leader issued at that time on its own clock has been received. */
  noteGrant(issuedAtMs: number): void {
    this.lastGrantIssuedAtMs = Math.max(this.lastGrantIssuedAtMs, issuedAtMs);
  }

  /** A grant issued at that time asks for a resync; false: that one or a later one is carried out already. */
  noteResync(issuedAtMs: number): boolean {
    if (issuedAtMs <= this.lastResyncIssuedAtMs) return false;
    this.lastResyncIssuedAtMs = issuedAtMs;
    return true;
  }

  /** Is a heartbeat of that machine waiting to be sent in full? */
  isChanged(machine: string): boolean {
    return this.changed.has(machine);
  }

  /** A heartbeat was acknowledged that says nothing new. */
  addUnchanged({ machine, epoch, tick }: Heartbeat): void {
    this.unchanged.set(machine, { machine, epoch, tick });
  }

  /** A heartbeat was acknowledged that the leader needs in full. */
  addChanged(worker: ServedWorker): void {
    const { machine } = worker.heartbeat;
    this.unchanged.delete(machine);
    this.changed.set(machine, worker);
  }

  /** Sends the workers' heartbeats in full once more; what is known of them as unchanged goes out beside that. */
  resync(workers: Iterable<ServedWorker>): void {
    for (const worker of workers) this.changed.set(worker.heartbeat.machine, worker);
  }

  /** Takes all that has been added, as the updates that have to be sent now, in their order; at least one. */
  take(term: number, workerCount: number, nowMs: number): HeartbeatServerUpdate[] {
    const parts = this.takeChanged(nowMs);
    const unchanged = [...this.unchanged.values()];
    this.unchanged.clear();
    const cancellations = this.context.cancellations.nextUpdate(nowMs);
    const updates: HeartbeatServerUpdate[] = [];
    for (const heartbeats of parts) {
      // The leader may take the batch for known only once it has the last part.
      const isLast = updates.length === parts.length - 1;
      const named = isLast ? cancellations : NO_CANCELLATIONS;
      updates.push({
        kind: "heartbeat server update",
        from: this.context.node,
        term,
        incarnation: this.context.incarnation,
        sequence: ++this.sequence,
        lastGrantIssuedAtMs: isLast ? this.lastGrantIssuedAtMs : 0,
        lastResyncIssuedAtMs: isLast ? this.lastResyncIssuedAtMs : 0,
        requestedAtMs: Math.floor(nowMs),
        machines: workerCount,
        lagMs: Math.round(this.context.lagMs()),
        unchanged: isLast ? unchanged : [],
        heartbeats,
        cancellations: named.cancellations,
        cancellationSeq: named.cancellationSeq,
        cancellationsComplete: named.cancellationsComplete,
      });
    }
    return updates;
  }

  /** The heartbeats to be sent in full, in parts that each fit into a frame; at least one part. */
  private takeChanged(nowMs: number): ReceivedHeartbeat[][] {
    let part: ReceivedHeartbeat[] = [];
    const parts = [part];
    let size = 0;
    for (const { heartbeat, receivedMs } of this.changed.values()) {
      if (size + heartbeat.tasks.length > MAX_TASKS_PER_FRAME) {
        part = [];
        parts.push(part);
        size = 0;
      }
      size += heartbeat.tasks.length + HEARTBEAT_SIZE_IN_TASKS;
      part.push({ ageMs: Math.max(0, Math.round(nowMs - receivedMs)), heartbeat });
    }
    this.changed.clear();
    return parts;
  }
}
