/**
 * Batches the heartbeats that a heartbeat server has acknowledged into updates for the leader. Every acknowledgement is
 * part of exactly one update, and the updates of a term are numbered without gaps: the leader's proofs by lease expiry rely
 * on both (rule `ran_twice`).
 */
import type { Heartbeat, ReceivedHeartbeat, UnchangedHeartbeat } from "../../protocol/model.js";
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import type { CancellationUpdate, ConfirmedCancellations } from "./confirmedCancellations.js";
import type { ServedWorker } from "./servedWorkers.js";

/** Maximum number of tasks in the heartbeats of one frame, which keeps frames far below the size limit of peers. */
const MAX_TASKS_PER_FRAME = 1200;
/** Size of a heartbeat without tasks, in multiples of a task's size. */
const HEARTBEAT_SIZE_IN_TASKS = 5;

/** Placeholder for all but the last update of a batch, which alone reports cancellations. */
const NO_CANCELLATIONS: CancellationUpdate = {
  cancellations: [],
  cancellationSeq: 0,
  cancellationsComplete: false,
};

/** The sender's data that each update carries. */
export interface HeartbeatUpdatesContext {
  node: string;
  /** Number that differs in each process. */
  incarnation: number;
  cancellations: ConfirmedCancellations;
  /** Event loop lag of this process, in milliseconds. */
  lagMs: () => number;
}

/** Owns the acknowledged heartbeats not yet sent to the leader, and the sequence numbers of the updates. */
export class HeartbeatUpdates {
  /** Heartbeats that bring no change, by machine. */
  private readonly unchanged = new Map<string, UnchangedHeartbeat>();
  /** Workers whose newest heartbeat the leader needs in full, by machine. */
  private readonly changed = new Map<string, ServedWorker>();
  private sequence = 0;
  private lastGrantIssuedAtMs = 0;
  private lastResyncIssuedAtMs = 0;

  constructor(private readonly context: HeartbeatUpdatesContext) {}

  /** Starts a new term: sequence numbers restart, and the new leader has issued no grant yet. */
  beginTerm(): void {
    this.lastGrantIssuedAtMs = 0;
    this.lastResyncIssuedAtMs = 0;
    this.sequence = 0;
    this.unchanged.clear();
  }

  /** Records the receipt of a grant, which the leader issued at `issuedAtMs` on its own clock. */
  recordGrant(issuedAtMs: number): void {
    this.lastGrantIssuedAtMs = Math.max(this.lastGrantIssuedAtMs, issuedAtMs);
  }

  /** Accepts the resync that a grant requests; returns false if this or a later one has been carried out already. */
  acceptResync(issuedAtMs: number): boolean {
    if (issuedAtMs <= this.lastResyncIssuedAtMs) return false;
    this.lastResyncIssuedAtMs = issuedAtMs;
    return true;
  }

  /** Whether a heartbeat of the machine is waiting to be sent in full. */
  hasPendingChange(machine: string): boolean {
    return this.changed.has(machine);
  }

  /** Adds an acknowledged heartbeat that brings no change. */
  addUnchanged({ machine, epoch, tick }: Heartbeat): void {
    this.unchanged.set(machine, { machine, epoch, tick });
  }

  /** Adds an acknowledged heartbeat that the leader needs in full. */
  addChanged(worker: ServedWorker): void {
    const { machine } = worker.heartbeat;
    this.unchanged.delete(machine);
    this.changed.set(machine, worker);
  }

  /** Queues the workers' heartbeats to be sent in full again; their queued unchanged heartbeats are still sent as well. */
  resync(workers: Iterable<ServedWorker>): void {
    for (const worker of workers) this.changed.set(worker.heartbeat.machine, worker);
  }

  /** Removes all queued heartbeats, and returns them as at least one update, in the order in which to send them. */
  takeUpdates(term: number, workerCount: number, nowMs: number): HeartbeatServerUpdate[] {
    const parts = this.takeChanged(nowMs);
    const unchanged = [...this.unchanged.values()];
    this.unchanged.clear();
    const cancellations = this.context.cancellations.nextUpdate(nowMs);
    const updates: HeartbeatServerUpdate[] = [];
    for (const heartbeats of parts) {
      // The leader may consider the batch known only once it has received the last part.
      const isLast = updates.length === parts.length - 1;
      const cancellationUpdate = isLast ? cancellations : NO_CANCELLATIONS;
      updates.push({
        kind: "heartbeat server update",
        from: this.context.node,
        term,
        incarnation: this.context.incarnation,
        sequence: ++this.sequence,
        lastGrantIssuedAtMs: isLast ? this.lastGrantIssuedAtMs : 0,
        lastResyncIssuedAtMs: isLast ? this.lastResyncIssuedAtMs : 0,
        requestedAtMs: Math.floor(nowMs),
        workerCount,
        lagMs: Math.round(this.context.lagMs()),
        unchanged: isLast ? unchanged : [],
        heartbeats,
        cancellations: cancellationUpdate.cancellations,
        cancellationSeq: cancellationUpdate.cancellationSeq,
        cancellationsComplete: cancellationUpdate.cancellationsComplete,
      });
    }
    return updates;
  }

  /** Removes the heartbeats to be sent in full, and returns them as at least one part, each of which fits into a frame. */
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
