import type { ToldCancel } from "../protocol/peers.js";

/** More that the leader has not confirmed are not kept: from then on only its own reading counts. */
const KEPT = 4096;
/** In one frame. */
const IN_FRAME = 500;

/** What a frame to the leader says of cancellations that users were told here. */
export interface ToldPart {
  told: ToldCancel[];
  /** Number of the last of them; the leader's grants say up to which it has taken them over. */
  toldSeq: number;
  /** With it the leader has been told of all. */
  toldAll: boolean;
}

/**
 * The cancellations that this process has told users of and the leader may not know: the leader reads them from the
 * state service as well, unless that refuses it while it serves us (docs/incidents/gap.md).
 */
export class ToldCancels {
  private readonly entries = new Map<string, { seq: number; at: Date; atMs: number }>();
  private seq = 0;
  private takenSeq = 0;
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
  begin(): void {
    this.takenSeq = 0;
  }

  taken(seq: number): void {
    this.takenSeq = Math.max(this.takenSeq, seq);
  }

  forget(nowMs: number): void {
    // In the order in which they were told.
    for (const [id, e] of this.entries) {
      if (nowMs - e.atMs < this.keepMs) break;
      this.entries.delete(id);
    }
  }

  part(nowMs: number): ToldPart {
    const told: ToldCancel[] = [];
    let toldSeq = this.takenSeq;
    let toldAll = nowMs - this.overflowMs > this.keepMs;
    for (const [id, e] of this.entries) {
      if (e.seq <= this.takenSeq) continue;
      if (told.length >= IN_FRAME) {
        toldAll = false;
        break;
      }
      told.push({ id, at: e.at });
      toldSeq = e.seq;
    }
    return { told, toldSeq, toldAll };
  }
}
