/** Follows what all controllers write of live jobs while the term lasts. */
import { keys } from "../../bookkeeping/records.js";
import type { StateStoreClient, WatchOutcome } from "../../bookkeeping/stateStoreClient.js";
import type { Clock } from "../../transport/clock.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { TermLease } from "../term/termLease.js";
import type { JobRecords } from "./jobRecords.js";
import type { RecordMessage } from "./recordMessages.js";

/** Longest wait of a watch without changes; short, so that `cancellationsReadUntilMs` stays close behind the clock. */
const WATCH_WAIT_MS = 800;
/** Pause before a watch that failed is begun anew. */
const WATCH_RETRY_MS = 250;
/** Timeout of a reading of all heads, and the pause before one that failed is begun anew. */
const LIST_TIMEOUT_MS = 4000;
const LIST_RETRY_MS = 300;

/** What the watcher uses of the term. */
export interface RecordWatcherContext {
  clock: Clock;
  lease: TermLease;
  stateStore: StateStoreClient;
  jobRecords: JobRecords;
  cycles: CycleRequests;
  tell: (message: RecordMessage) => void;
}

/** Watches the heads of live jobs, which every controller writes: new jobs and cancellations. */
export class RecordWatcher {
  private revision = 0;
  private readUntilMs = -Infinity;

  constructor(private readonly context: RecordWatcherContext) {}

  /** Steady time: all cancellations that were committed before it are known to the leader. */
  get cancellationsReadUntilMs(): number {
    return this.readUntilMs;
  }

  /** Watches what changes after the revision at which the records were read, by a request sent at `sentMs`. */
  begin(revision: number, sentMs: number): void {
    this.revision = revision;
    this.readUntilMs = sentMs;
    this.watch();
  }

  private watch(): void {
    const { clock, stateStore, tell } = this.context;
    const sentMs = clock.nowMs();
    void stateStore
      .watch(keys.live, this.revision, WATCH_WAIT_MS)
      .then((outcome) => tell({ kind: "watched", outcome, sentMs }));
  }

  /** A watch, or a reading in its place, has ended: applies the changes and begins the next one. */
  applyWatchOutcome(outcome: WatchOutcome, sentMs: number): void {
    switch (outcome.kind) {
      case "too old":
        this.readAll();
        return;
      case "failed":
        this.context.clock.after(WATCH_RETRY_MS, () => {
          if (!this.context.lease.isOver) this.watch();
        });
        return;
      case "ok":
        break;
    }
    this.revision = Math.max(this.revision, outcome.revision);
    for (const event of outcome.events) if (!("isDeleted" in event)) this.context.jobRecords.applyHead(event);
    this.readUntilMs = Math.max(this.readUntilMs, sentMs);
    this.watch();
    this.context.cycles.requestCycle();
  }

  /** The state store no longer has the changes since our revision: reads all heads again. */
  private readAll(): void {
    const { clock, stateStore, tell } = this.context;
    const sentMs = clock.nowMs();
    void stateStore.list(keys.live, sentMs + LIST_TIMEOUT_MS).then((list) => {
      const isOk = list.kind === "ok";
      const outcome: WatchOutcome = isOk
        ? { kind: "ok", revision: list.revision, events: list.items }
        : { kind: "too old" };
      clock.after(isOk ? 0 : LIST_RETRY_MS, () => tell({ kind: "watched", outcome, sentMs }));
    });
  }
}
