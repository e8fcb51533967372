import { decodeTypes, encodeTypes } from "../../protocol/cloud.js";
import { Job } from "../../bookkeeping/jobs.js";
import type { Machine } from "../../bookkeeping/machines.js";
import { composeTransaction, type Garbage, type Transaction } from "../../bookkeeping/ledger.js";
import { decodeChunk, decodeFinal, decodeHead, keys } from "../../bookkeeping/records.js";
import type { CommitOutcome, Item, ListOutcome, WatchOutcome } from "../../bookkeeping/stateClient.js";
import type { Timer } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import { newStop } from "./attempts.js";
import type { LeaderOptions } from "./leader.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { LeaderTerm } from "./leaderTerm.js";

/** Results wait so long for company: what needs them sooner, the end of their job, is written at once. */
export const DEFERRED_WRITE_MS = 3000;
/** Changes in a second that results leave to others. */
const DEFERRED_WRITE_RESERVE = 8;
/** Short, so that we know at each moment that no cancellation of a while ago is unknown here (`knownToMs`). */
const WATCH_MS = 800;

/** Owns the term's records: reads them when the term begins, watches them, writes what changes. */
export class RecordStore {
  private revision = 0;
  /** All cancellations that were committed before then are known. */
  knownToMs = -Infinity;
  readonly garbage: Garbage = new Map();
  private writing = false;
  /** Something waited when we might not write. */
  private heldBack = false;
  private writeAtMs = Infinity;
  private timer: Timer | null = null;
  typesVersion = 0;
  typesDirty = false;
  private movesVersion = 0;
  private readonly rereading = new Set<string>();

  constructor(
    private readonly leaderTerm: LeaderTerm,
    private readonly options: LeaderOptions,
    private readonly estimates: Estimates,
  ) {}

  load(): void {
    const { term } = this.leaderTerm.lease;
    const sentMs = this.options.clock.nowMs();
    const deadline = sentMs + 4000;
    const rest = async (): Promise<Item[] | null> => {
      const items: Item[] = [];
      for (const key of [keys.types, keys.moves]) {
        const got = await this.options.state.get(key, deadline);
        if (got.kind === "failed") return null;
        if (got.kind === "found") items.push(got.item);
      }
      return items;
    };
    void Promise.all([
      // Heads before chunks: a chunk whose job is not among the heads is then certainly nobody's.
      this.options.state.list(keys.live, deadline).then(async (heads) => ({
        heads,
        chunks: await this.options.state.list(keys.chunks, deadline),
      })),
      rest(),
    ]).then(([{ heads, chunks }, items]) =>
      this.options.tell({ kind: "loaded", term, heads, chunks, rest: items, sentMs }),
    );
  }

  loaded(heads: ListOutcome, chunks: ListOutcome, rest: Item[] | null, sentMs: number): void {
    if (heads.kind === "failed" || chunks.kind === "failed" || !rest) {
      this.options.clock.after(200, () => {
        if (!this.leaderTerm.over) this.load();
      });
      return;
    }
    for (const item of rest) {
      if (item.key === keys.types) {
        this.typesVersion = item.version;
        const types = decodeTypes(item.value);
        if (types && !this.estimates.typesKnown)
          this.options.tell({ kind: "cloud", news: { kind: "types", types, stored: true } });
      } else if (item.key === keys.moves) this.movesVersion = item.version;
    }
    for (const item of heads.items) this.learnHead(item);
    for (const item of chunks.items) this.loadChunk(item);
    this.revision = heads.revision;
    this.knownToMs = sentMs;
    this.leaderTerm.loaded = true;
    log.info(
      `term ${this.leaderTerm.lease.term}: ${this.leaderTerm.jobs.size} live jobs, ${this.leaderTerm.machines.size} machines known`,
    );
    for (const m of this.leaderTerm.machines.values())
      if (m.state === "up") this.leaderTerm.supervisor.reconcile(m);
    // A gang that had lost a member, and whose leader ended before it had told the others: they would wait for it alone.
    for (const job of this.leaderTerm.jobs.values())
      if (job.spec.kind === "gang" && job.attempts.size > 0 && job.pending > 0)
        this.leaderTerm.attempts.breakGang(job);
    // What came up while we read (the types, first of all) has waited for this.
    this.requestWrite(0);
    this.watch();
    this.leaderTerm.scheduler.requestCycle();
  }

  private learnHead(item: Item): void {
    const id = item.key.slice(keys.live.length);
    const head = decodeHead(item.value);
    if (!head || head.spec.id !== id) {
      log.error(`record ${item.key} can't be read`);
      return;
    }
    const job = this.leaderTerm.jobs.get(id);
    if (job) {
      if (item.version < job.headVersion) return;
      job.headVersion = item.version;
      if (head.cancelledAt !== null && !job.cancelled)
        this.leaderTerm.attempts.cancelJob(job, head.cancelledAt);
      return;
    }
    const ageMs = Math.max(0, this.options.clock.today().getTime() - head.acceptedAt.getTime());
    this.leaderTerm.jobsVersion++;
    this.estimates.profile(head.spec);
    this.leaderTerm.jobs.set(id, Job.fromHead(head, item.version, this.options.clock.nowMs() - ageMs));
  }

  private loadChunk(item: Item): void {
    const parts = item.key.split("/");
    const job = this.leaderTerm.jobs.get(parts[1] ?? "");
    const index = Number(parts[2]);
    const record = decodeChunk(item.value);
    if (!job) {
      this.garbage.set(item.key, item.version);
      return;
    }
    if (!record || !Number.isInteger(index)) {
      log.error(`record ${item.key} can't be read`);
      return;
    }
    job.load(index, record, item.version);
    for (const a of record.attempts) {
      if (job.isDone(a.task)) continue;
      // It may be there, or its start may still be on the way: it holds place and quota until proved gone.
      const machine = this.leaderTerm.machine(a.machine, a.zone);
      this.leaderTerm.attempts.attach({
        job,
        task: a.task,
        attempt: a.attempt,
        machine,
        durable: true,
        inherited: true,
        sentToken: -1,
        sentSession: 0,
        sentMs: -Infinity,
        phase: null,
        plannedMs: this.options.clock.nowMs(),
        runningMs: null,
        stop: job.cancelled ? newStop(this.options.clock.nowMs(), 0) : null,
      });
    }
  }

  private watch(): void {
    const { term } = this.leaderTerm.lease;
    const sentMs = this.options.clock.nowMs();
    void this.options.state
      .watch(keys.live, this.revision, WATCH_MS)
      .then((outcome) => this.options.tell({ kind: "watched", term, outcome, sentMs }));
  }

  watched(outcome: WatchOutcome, sentMs: number): void {
    if (outcome.kind === "too old") {
      // Heads may have come and been cancelled unseen: read them all again.
      const { term } = this.leaderTerm.lease;
      const listedMs = this.options.clock.nowMs();
      void this.options.state.list(keys.live, listedMs + 4000).then((list) => {
        const outcome: WatchOutcome =
          list.kind === "ok"
            ? { kind: "ok", revision: list.revision, events: list.items }
            : { kind: "too old" };
        this.options.clock.after(list.kind === "ok" ? 0 : 300, () =>
          this.options.tell({ kind: "watched", term, outcome, sentMs: listedMs }),
        );
      });
      return;
    }
    if (outcome.kind === "failed") {
      this.options.clock.after(250, () => {
        if (!this.leaderTerm.over) this.watch();
      });
      return;
    }
    this.revision = Math.max(this.revision, outcome.revision);
    for (const event of outcome.events) if (!("gone" in event)) this.learnHead(event);
    this.knownToMs = Math.max(this.knownToMs, sentMs);
    this.watch();
    this.leaderTerm.scheduler.requestCycle();
  }

  /**
   * Writes what an outage held back. Left to the next change, starts planned in an outage were never sent when all work
   * had its plan already: nothing changed any more, and the jobs waited for ever (docs/incidents/held-back.md).
   */
  resume(): void {
    if (!this.heldBack) return;
    this.heldBack = false;
    this.requestWrite(0);
  }

  /** Sees to it that what waits is written within this time. */
  requestWrite(delayMs: number): void {
    const atMs = this.options.clock.nowMs() + delayMs;
    if (this.writing || atMs >= this.writeAtMs) return;
    this.writeAtMs = atMs;
    this.timer?.cancel();
    const { term } = this.leaderTerm.lease;
    if (delayMs === 0) this.options.tell({ kind: "write", term });
    else this.timer = this.options.clock.after(delayMs, () => this.options.tell({ kind: "write", term }));
  }

  writeNow(): void {
    this.writeAtMs = Infinity;
    this.write();
  }

  private write(): void {
    if (!this.leaderTerm.loaded || this.writing) return;
    if (!this.leaderTerm.mayWrite()) {
      this.heldBack = true;
      return;
    }
    const { platform, state, clock } = this.options;
    const room = state.writeRoom();
    if (room < 1) {
      this.requestWrite(Math.max(10, state.writeWaitMs(1)));
      return;
    }
    const limits = {
      changes: Math.min(platform.stateTxnOps, Math.max(room, 4)),
      // Results leave room for starts, and for what other controllers accept.
      lazy: Math.max(1, room - DEFERRED_WRITE_RESERVE),
      bytes: 60 * 1024,
    };
    const transaction = composeTransaction(
      this.leaderTerm.jobs.values(),
      this.garbage,
      this.leaderTerm.lease.termVersion,
      limits,
    );
    if (this.leaderTerm.rounds.moves && transaction.changes.length < limits.changes) {
      // A round's moves go in one write, before any of them begins.
      transaction.guards.push({ key: keys.moves, version: this.movesVersion });
      transaction.changes.push({
        put: keys.moves,
        value: { term: this.leaderTerm.lease.term, moves: this.leaderTerm.rounds.moves },
      });
      transaction.moves = this.leaderTerm.rounds.moves;
    }
    if (this.typesDirty && transaction.changes.length < limits.changes) {
      transaction.guards.push({ key: keys.types, version: this.typesVersion });
      transaction.changes.push({ put: keys.types, value: encodeTypes(this.estimates.types) });
      transaction.types = true;
    }
    if (transaction.changes.length === 0) {
      // What is pressing may just be larger than what we may write at the moment.
      if (this.hasUrgent()) this.requestWrite(Math.max(50, state.writeWaitMs(8)));
      return;
    }
    this.writing = true;
    for (const part of transaction.parts) {
      if (!part.chunk) continue;
      part.chunk.dirty = false;
      part.chunk.urgent = false;
    }
    const { term } = this.leaderTerm.lease;
    void state
      .commit(transaction.guards, transaction.changes, clock.nowMs() + 2000)
      .then((outcome) => this.options.tell({ kind: "committed", term, transaction, outcome }));
  }

  committed(transaction: Transaction, outcome: CommitOutcome): void {
    this.writing = false;
    if (outcome.kind === "ok") {
      this.applied(transaction, outcome.revision);
      this.requestWrite(this.hasUrgent() ? 0 : DEFERRED_WRITE_MS);
      return;
    }
    for (const part of transaction.parts) {
      if (!part.chunk) continue;
      part.chunk.dirty = true;
      // Planned attempts in it still wait.
      if ([...part.chunk.attempts.values()].some((a) => !a.durable)) part.chunk.urgent = true;
    }
    if (outcome.kind === "conflict") {
      if (outcome.failed.includes(keys.term)) {
        this.options.onDeposed(this.leaderTerm.lease.term);
        return;
      }
      for (const key of outcome.failed) this.rereadKey(key);
      if (outcome.failed.length === 0) this.requestWrite(100);
      return;
    }
    // Refused, or unknown: the guards make it harmless to try again; a conflict then tells what had happened.
    this.requestWrite(150);
  }

  private hasUrgent(): boolean {
    for (const job of this.leaderTerm.jobs.values()) {
      if (job.over) return true;
      for (const c of job.chunks.values()) if (c.urgent) return true;
    }
    return this.leaderTerm.rounds.moves !== null;
  }

  private applied(transaction: Transaction, revision: number): void {
    const touched = new Set<Machine>();
    for (const key of transaction.garbage) this.garbage.delete(key);
    for (const part of transaction.parts) {
      if (!part.chunk) {
        this.finished(part.job, transaction);
        continue;
      }
      part.chunk.version = revision;
      part.chunk.durableDone = part.done!;
      for (const attempt of part.attempts) {
        if (attempt.durable) continue;
        attempt.durable = true;
        if (attempt.machine.attempts.has(attempt)) touched.add(attempt.machine);
      }
    }
    if (transaction.moves) {
      this.movesVersion = revision;
      if (this.leaderTerm.rounds.moves === transaction.moves) this.leaderTerm.rounds.beginMoves();
    }
    if (transaction.types) {
      this.typesVersion = revision;
      this.typesDirty = false;
    }
    for (const m of touched) this.leaderTerm.supervisor.sendCommands(m);
  }

  private finished(job: Job, transaction: Transaction | null): void {
    const dropped = new Set((transaction?.changes ?? []).map((c) => ("drop" in c ? c.drop : "")));
    for (const chunk of job.chunks.values()) {
      const key = keys.chunk(job.id, chunk.index);
      if (chunk.version > 0 && !dropped.has(key)) this.garbage.set(key, chunk.version);
    }
    this.leaderTerm.jobsVersion++;
    this.leaderTerm.jobs.delete(job.id);
    this.leaderTerm.rounds.prefer.delete(job.id);
  }

  private rereadKey(key: string): void {
    if (this.rereading.has(key)) return;
    this.rereading.add(key);
    const { term } = this.leaderTerm.lease;
    void this.options.state.get(key, this.options.clock.nowMs() + 2000).then((got) => {
      this.options.tell({
        kind: "reread",
        term,
        key,
        item: got.kind === "found" ? got.item : null,
        ok: got.kind !== "failed",
      });
    });
  }

  /** A guard failed: learn what stands there. Only our own unanswered writes and users' cancellations can. */
  reread(key: string, item: Item | null, ok: boolean): void {
    this.rereading.delete(key);
    if (!ok) {
      this.options.clock.after(200, () => {
        if (!this.leaderTerm.over) this.rereadKey(key);
      });
      return;
    }
    const [prefix, id, index] = key.split("/");
    const job = this.leaderTerm.jobs.get(id ?? "");
    if (prefix === "j" && job) {
      if (item) this.learnHead(item);
      else this.rereadKey(keys.final(job.id));
    } else if (prefix === "f" && job) {
      if (item && decodeFinal(item.value)) this.finished(job, null);
    } else if (prefix === "c") {
      const chunk = job?.chunks.get(Number(index));
      if (chunk) chunk.version = item?.version ?? 0;
      if (this.garbage.has(key)) {
        if (item) this.garbage.set(key, item.version);
        else this.garbage.delete(key);
      }
    } else if (key === keys.types) this.typesVersion = item?.version ?? 0;
    else if (key === keys.moves) this.movesVersion = item?.version ?? 0;
    if (this.rereading.size === 0) this.requestWrite(0);
  }
}
