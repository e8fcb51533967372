/** Fresh reads of the live jobs for users' requests: many requests share one read of the state store. */
import type { Clock } from "../transport/clock.js";
import { decodeHead, jobIdOfHeadKey, keys, type JobHead } from "./records.js";
import type { Item, StateStoreClient } from "./stateStoreClient.js";

/** A live job's head as the state store held it at the last read. */
export interface LiveJob {
  head: JobHead;
  /** Version of the head's key. */
  version: number;
}

/** Timeout of one read. */
const READ_TIMEOUT_MS = 1500;
/** Pause after a read that failed. */
const RETRY_PAUSE_MS = 100;

/** A request that waits for a read. */
interface WaitingRequest {
  deadlineMs: number;
  resolve: (isRefreshed: boolean) => void;
}

/**
 * The heads of live jobs as the state store holds them, for requests that any controller answers. All requests that wait
 * together share one read that began after the last of them came in, so none gets a state older than itself (rules
 * `went_back`, `forgotten`). A read asks only for the changes since the last one.
 */
export class LiveJobCache {
  private jobs = new Map<string, LiveJob>();
  /** Revision of the last read; -1: there was none. */
  private revision = -1;
  private isReading = false;
  private nextReadMs = -Infinity;
  private isTimerSet = false;
  private waiting: WaitingRequest[] = [];

  constructor(
    private readonly state: StateStoreClient,
    private readonly clock: Clock,
    /** Shortest time between the beginnings of two reads, so that all controllers' reads fit the store's rate limit. */
    private readonly readIntervalMs: number,
  ) {}

  /** Resolves true once everything that was committed before this call is known here; false: not by the deadline. */
  refresh(deadlineMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      this.waiting.push({ deadlineMs, resolve });
      this.scheduleRead();
    });
  }

  /** The job as of the last read; undefined: it was not live, or its head could not be decoded. */
  liveJob(id: string): LiveJob | undefined {
    return this.jobs.get(id);
  }

  private scheduleRead(): void {
    if (this.isReading || this.isTimerSet || this.waiting.length === 0) return;
    const waitMs = this.nextReadMs - this.clock.nowMs();
    if (waitMs <= 0) {
      void this.read();
      return;
    }
    this.isTimerSet = true;
    this.clock.after(waitMs, () => {
      this.isTimerSet = false;
      this.scheduleRead();
    });
  }

  private async read(): Promise<void> {
    this.isReading = true;
    const served = this.waiting;
    this.waiting = [];
    const startMs = this.clock.nowMs();
    this.nextReadMs = startMs + this.readIntervalMs;
    let lastDeadlineMs = startMs;
    for (const request of served) lastDeadlineMs = Math.max(lastDeadlineMs, request.deadlineMs);
    let isRefreshed = false;
    try {
      isRefreshed = await this.update(Math.min(lastDeadlineMs, startMs + READ_TIMEOUT_MS));
    } finally {
      this.isReading = false;
      this.finishRead(served, isRefreshed);
    }
  }

  /** Resolves the requests that the read served; after a failure those that have time left wait for the next one. */
  private finishRead(served: WaitingRequest[], isRefreshed: boolean): void {
    const retryMs = this.clock.nowMs() + RETRY_PAUSE_MS;
    for (const request of served) {
      if (isRefreshed || retryMs >= request.deadlineMs) request.resolve(isRefreshed);
      else this.waiting.push(request);
    }
    if (!isRefreshed) this.nextReadMs = Math.max(this.nextReadMs, retryMs);
    this.scheduleRead();
  }

  /** True when what was committed before is known. */
  private async update(deadlineMs: number): Promise<boolean> {
    if (this.revision >= 0) {
      const changes = await this.state.watch(keys.live, this.revision, 0, deadlineMs);
      if (changes.kind === "failed") return false;
      if (changes.kind === "ok") {
        for (const event of changes.events) {
          if ("isDeleted" in event) this.jobs.delete(jobIdOfHeadKey(event.key));
          else this.put(event);
        }
        this.revision = Math.max(this.revision, changes.revision);
        return true;
      }
    }
    // Never read, or so long ago that the state store no longer has the changes since.
    const list = await this.state.list(keys.live, deadlineMs);
    if (list.kind === "failed") return false;
    this.jobs = new Map();
    for (const item of list.items) this.put(item);
    this.revision = list.revision;
    return true;
  }

  private put(item: Item): void {
    const head = decodeHead(item.value);
    // Whoever needs a job whose head can't be decoded reads its key.
    if (head) this.jobs.set(jobIdOfHeadKey(item.key), { head, version: item.version });
  }
}
