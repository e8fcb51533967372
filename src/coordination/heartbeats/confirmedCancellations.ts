import type { ConfirmedCancellation } from "../../protocol/peers/messages.js";

/** More that the leader has not confirmed are not kept: from then on only its own reading counts. */
const KEPT = 4096;
/** In one frame. */
const IN_FRAME = 500;

/** What a frame to the leader says of cancellations that users were told here. */
export interface CancellationUpdate {
  cancellations: ConfirmedCancellation[];
  /** Number of the last of them; the leader's grants say up to which it has taken them over. */
  cancellationSeq: number;
  /** With it the leader has been told of all. */
  cancellationsComplete: boolean;
}

/**
 * The cancellations that this process has told users of and the leader may not know: the leader reads them from the
 * state service as well, unless that refuses it while it serves us (docs/incidents/gap.md).
 */
export class ConfirmedCancellations {
  private readonly entries = new Map<string, { seq: number; at: Date; atMs: number }>();
  private seq = 0;
  private acknowledgedSeq = 0;
  private overflowMs = -Infinity;

  constructor(
    /** After this nothing that could still run of such a job can be anywhere: whoever knows nothing of it has let its leases end. */
    private readonly keepMs: number,
  ) {}

  /** True when it is new here. */
  add(id: string, at: Date, nowMs: number): boolean {
    if (this.entries.has(id)) return false;
    this.entries.set(id, { seq: ++this.seq, at, atMs: nowMs });
    if (this.entries.size > KEPT) {
      this.entries.delete(this.entries.keys().next().value!);
      this.overflowMs = nowMs;
    }
    return true;
  }

  /** A new leader knows nothing yet. */
  beginTerm(): void {
    this.acknowledgedSeq = 0;
  }

  acknowledgeUpTo(seq: number): void {
    this.acknowledgedSeq = Math.max(this.acknowledgedSeq, seq);
  }

  expire(nowMs: number): void {
    // In the order in which they were told.
    for (const [id, e] of this.entries) {
      if (nowMs - e.atMs < this.keepMs) break;
      this.entries.delete(id);
    }
  }

  nextUpdate(nowMs: number): CancellationUpdate {
    const cancellations: ConfirmedCancellation[] = [];
    let cancellationSeq = this.acknowledgedSeq;
    let cancellationsComplete = nowMs - this.overflowMs > this.keepMs;
    for (const [id, e] of this.entries) {
      if (e.seq <= this.acknowledgedSeq) continue;
      if (cancellations.length >= IN_FRAME) {
        cancellationsComplete = false;
        break;
      }
      cancellations.push({ id, cancelledAt: e.at });
      cancellationSeq = e.seq;
    }
    return { cancellations, cancellationSeq, cancellationsComplete };
  }
}
