import { keys } from "../../bookkeeping/records.js";
import type { StateStoreClient, WatchOutcome } from "../../bookkeeping/stateStoreClient.js";
import type { Clock } from "../../transport/clock.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { TermLease } from "../term/termLease.js";
import type { JobRecords } from "./jobRecords.js";
import type { RecordMessage } from "./recordMessages.js";

/** Short, so that at each moment no cancellation of a while ago is unknown here (`cancellationsReadUntilMs`). */
const WATCH_MS = 800;
/** A watch that failed is begun anew after this. */
const RETRY_WATCH_MS = 250;
/** So long a reading of all heads may take, and its pause when it failed. */
const LIST_MS = 4000;
const RETRY_LIST_MS = 300;

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

  /** All cancellations that were committed before then are known. */
  get cancellationsReadUntilMs(): number {
    return this.readUntilMs;
  }

  /** The records were read at that revision, by a request sent then: what changes from there on is watched. */
  begin(revision: number, sentMs: number): void {
    this.revision = revision;
    this.readUntilMs = sentMs;
    this.watch();
  }

  private watch(): void {
    const { clock, stateStore, tell } = this.context;
    const sentMs = clock.nowMs();
    void stateStore
      .watch(keys.live, this.revision, WATCH_MS)
      .then((outcome) => tell({ kind: "watched", outcome, sentMs }));
  }

  /** What a watch, or a reading in its place, brought. */
  watched(outcome: WatchOutcome, sentMs: number): void {
    switch (outcome.kind) {
      case "too old":
        this.readAll();
        return;
      case "failed":
        this.context.clock.after(RETRY_WATCH_MS, () => {
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

  /** Heads may have come and been cancelled unseen: read them all again. */
  private readAll(): void {
    const { clock, stateStore, tell } = this.context;
    const sentMs = clock.nowMs();
    void stateStore.list(keys.live, sentMs + LIST_MS).then((list) => {
      const ok = list.kind === "ok";
      const outcome: WatchOutcome = ok
        ? { kind: "ok", revision: list.revision, events: list.items }
        : { kind: "too old" };
      clock.after(ok ? 0 : RETRY_LIST_MS, () => tell({ kind: "watched", outcome, sentMs }));
    });
  }
}
