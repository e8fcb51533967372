import type { Clock } from "../transport/clock.js";
import { decodeHead, keys, type JobHead } from "./records.js";
import type { StateStoreClient } from "./stateStoreClient.js";

export interface LiveJob {
  head: JobHead;
  version: number;
}

/** Time until which a read that was begun must have come back. */
const READ_MS = 1500;

/**
 * The live jobs as the state service has them. Any number of questions that wait together are answered by one read
 * that began after the last of them came in, so an answer is never older than its question (rules `went_back`,
 * `forgotten`): what has changed since the last read is asked for, without holding, and laid over what is known.
 */
export class LiveJobCache {
  private jobs = new Map<string, LiveJob>();
  private revision = -1;
  private reading = false;
  private nextReadMs = -Infinity;
  private timerSet = false;
  private waiting: { deadlineMs: number; done: (ok: boolean) => void }[] = [];

  constructor(
    private readonly state: StateStoreClient,
    private readonly clock: Clock,
    /** Reads begin no closer together than this, so that all nodes' reads fit the service's limit. */
    private readonly gapMs: number,
  ) {}

  /** Resolves true once everything that was committed before this call is known here. */
  refresh(deadlineMs: number): Promise<boolean> {
    return new Promise((done) => {
      this.waiting.push({ deadlineMs, done });
      this.plan();
    });
  }

  liveJob(id: string): LiveJob | undefined {
    return this.jobs.get(id);
  }

  private plan(): void {
    if (this.reading || this.timerSet || this.waiting.length === 0) return;
    const waitMs = this.nextReadMs - this.clock.nowMs();
    if (waitMs <= 0) {
      void this.read();
      return;
    }
    this.timerSet = true;
    this.clock.after(waitMs, () => {
      this.timerSet = false;
      this.plan();
    });
  }

  private async read(): Promise<void> {
    this.reading = true;
    const batch = this.waiting;
    this.waiting = [];
    const now = this.clock.nowMs();
    this.nextReadMs = now + this.gapMs;
    let last = now;
    for (const w of batch) last = Math.max(last, w.deadlineMs);
    let ok = false;
    try {
      ok = await this.update(Math.min(last, now + READ_MS));
    } finally {
      this.reading = false;
      const later = this.clock.nowMs();
      for (const w of batch) {
        // A failed read may be tried again while there is time.
        if (ok || later + 100 >= w.deadlineMs) w.done(ok);
        else this.waiting.push(w);
      }
      if (!ok) this.nextReadMs = Math.max(this.nextReadMs, later + 100);
      this.plan();
    }
  }

  private async update(deadlineMs: number): Promise<boolean> {
    if (this.revision >= 0) {
      const got = await this.state.watch(keys.live, this.revision, 0, deadlineMs);
      if (got.kind === "ok") {
        for (const e of got.events) {
          if ("isDeleted" in e) this.jobs.delete(e.key.slice(keys.live.length));
          else this.put(e);
        }
        this.revision = Math.max(this.revision, got.revision);
        return true;
      }
      if (got.kind === "failed") return false;
    }
    // Never read, or so long ago that the service has forgotten what changed.
    const list = await this.state.list(keys.live, deadlineMs);
    if (list.kind === "failed") return false;
    this.jobs = new Map();
    for (const item of list.items) this.put(item);
    this.revision = list.revision;
    return true;
  }

  private put(item: { key: string; value: unknown; version: number }): void {
    const head = decodeHead(item.value);
    // What can't be read is looked at one by one.
    if (head) this.jobs.set(item.key.slice(keys.live.length), { head, version: item.version });
  }
}
