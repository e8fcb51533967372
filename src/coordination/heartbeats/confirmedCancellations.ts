/**
 * Tracks the cancellations that this process has confirmed to users and the leader may not know yet. The leader also reads
 * them from the state store, unless the store refuses the leader while it serves this process (docs/incidents/gap.md).
 */
import type { ConfirmedCancellation } from "../../protocol/peers/messages.js";

/** Maximum number of entries. After an entry is dropped, the leader relies only on what it reads from the store. */
const MAX_ENTRIES = 4096;
/** Maximum number of cancellations in one update, which keeps its frame far below the size limit of peers. */
const MAX_ENTRIES_PER_UPDATE = 500;

/** The part of an update to the leader that reports cancellations confirmed by this process. */
export interface CancellationUpdate {
  cancellations: ConfirmedCancellation[];
  /** Sequence number of the last reported cancellation; grants name the last one that the leader has applied. */
  cancellationSeq: number;
  /** Whether the leader knows all cancellations confirmed by this process once it has this update. */
  cancellationsComplete: boolean;
}

interface Entry {
  seq: number;
  /** Wall-clock time just before the cancellation was committed. */
  cancelledAt: Date;
  /** Steady time of the confirmation. */
  confirmedMs: number;
}

/** Numbers the confirmed cancellations, and keeps each for the retention time, up to a maximum number of entries. */
export class ConfirmedCancellations {
  /** Entries by job ID, in the order of confirmation. */
  private readonly entries = new Map<string, Entry>();
  private lastSeq = 0;
  private acknowledgedSeq = 0;
  /** When an entry that the leader may not know was last dropped for lack of space; -Infinity if never. */
  private lastDroppedMs = -Infinity;

  constructor(
    /** Time after a confirmation at which no task of the job can still run: leases not renewed since have expired. */
    private readonly retentionMs: number,
  ) {}

  /** Adds a confirmed cancellation; returns false if the job already has one here. */
  add(id: string, cancelledAt: Date, nowMs: number): boolean {
    if (this.entries.has(id)) return false;
    this.entries.set(id, { seq: ++this.lastSeq, cancelledAt, confirmedMs: nowMs });
    if (this.entries.size > MAX_ENTRIES) {
      const oldest = this.entries.keys().next().value!;
      this.entries.delete(oldest);
      this.lastDroppedMs = nowMs;
    }
    return true;
  }

  /** Marks all cancellations as unacknowledged, because the leader of a new term knows none of them. */
  beginTerm(): void {
    this.acknowledgedSeq = 0;
  }

  /** Records that the leader has applied the cancellations up to sequence number `seq`. */
  acknowledgeUpTo(seq: number): void {
    this.acknowledgedSeq = Math.max(this.acknowledgedSeq, seq);
  }

  /** Drops entries older than the retention time, which no longer concern a running task. */
  expire(nowMs: number): void {
    for (const [id, entry] of this.entries) {
      if (nowMs - entry.confirmedMs < this.retentionMs) break;
      this.entries.delete(id);
    }
  }

  /** Builds the report for the next update: the cancellations that the leader has not acknowledged, oldest first. */
  nextUpdate(nowMs: number): CancellationUpdate {
    const cancellations: ConfirmedCancellation[] = [];
    let cancellationSeq = this.acknowledgedSeq;
    let cancellationsComplete = nowMs - this.lastDroppedMs > this.retentionMs;
    for (const [id, entry] of this.entries) {
      if (entry.seq <= this.acknowledgedSeq) continue;
      if (cancellations.length >= MAX_ENTRIES_PER_UPDATE) {
        cancellationsComplete = false;
        break;
      }
      cancellations.push({ id, cancelledAt: entry.cancelledAt });
      cancellationSeq = entry.seq;
    }
    return { cancellations, cancellationSeq, cancellationsComplete };
  }
}
