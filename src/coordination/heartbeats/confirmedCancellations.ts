/**
 * The cancellations that this process has confirmed to users and its leader may not know. The leader reads them from the
 * state store as well, unless the state store refuses the leader while it serves us (docs/incidents/gap.md).
 */
import type { ConfirmedCancellation } from "../../protocol/peers/messages.js";

/** More than these are not kept; once one is dropped, only what the leader reads itself counts. */
const MAX_ENTRIES = 4096;
/** In one update, so that its frame stays far below the largest that peers accept. */
const MAX_ENTRIES_PER_UPDATE = 500;

/** What an update to the leader says of cancellations that were confirmed here. */
export interface CancellationUpdate {
  cancellations: ConfirmedCancellation[];
  /** Number of the last of them; the leader's grants say up to which one they have been applied. */
  cancellationSeq: number;
  /** With this update the leader knows of all that were confirmed here. */
  cancellationsComplete: boolean;
}

interface Entry {
  seq: number;
  /** The time of day just before the cancellation was committed. */
  cancelledAt: Date;
  /** Steady time of the confirmation. */
  confirmedMs: number;
}

/** Owns the numbers of confirmed cancellations, and what is kept of them until the leader has them. */
export class ConfirmedCancellations {
  /** By job, in the order in which they were confirmed. */
  private readonly entries = new Map<string, Entry>();
  private lastSeq = 0;
  private acknowledgedSeq = 0;
  /** When an entry was last dropped that the leader may not know. */
  private lastDroppedMs = -Infinity;

  constructor(
    /** So long after its confirmation no task of such a job can run anywhere: leases not renewed since have expired. */
    private readonly retentionMs: number,
  ) {}

  /** Adds a confirmed cancellation; true when it is new here. */
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

  /** A new leader knows none of them yet. */
  beginTerm(): void {
    this.acknowledgedSeq = 0;
  }

  /** The leader has applied those up to that number. */
  acknowledgeUpTo(seq: number): void {
    this.acknowledgedSeq = Math.max(this.acknowledgedSeq, seq);
  }

  /** Drops those that are older than the retention: they concern no running task any more. */
  expire(nowMs: number): void {
    for (const [id, entry] of this.entries) {
      if (nowMs - entry.confirmedMs < this.retentionMs) break;
      this.entries.delete(id);
    }
  }

  /** What the next update to the leader has to name: those that it has not acknowledged, the oldest first. */
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
