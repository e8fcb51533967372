import { decodeTypes, encodeTypes } from "../protocol/cloud.js";
import { Job } from "../bookkeeping/jobs.js";
import type { Machine } from "../bookkeeping/machines.js";
import { composeTransaction, type Garbage, type Transaction } from "../bookkeeping/ledger.js";
import { decodeChunk, decodeFinal, decodeHead, keys } from "../bookkeeping/records.js";
import type { CommitOutcome, Item, ListOutcome, WatchOutcome } from "../bookkeeping/stateClient.js";
import type { Timer } from "../transport/clock.js";
import { log } from "../transport/log.js";
import { newStop } from "./attempts.js";
import type { LeaderOptions } from "./leader.js";
import type { Estimates } from "./estimates.js";
import type { LeaderTerm } from "./leaderTerm.js";

/** Results wait so long for company: what needs them sooner, the end of their job, is written at once. */
export const LAZY_WRITE_MS = 3000;
/** Changes in a second that results leave to others. */
const LAZY_ROOM = 8;
/** Short, so that we know at each moment that no cancellation of a while ago is unknown here (`knownToMs`). */
const WATCH_MS = 800;

/** Owns the term's records: reads them when the term begins, watches them, writes what changes. */
export class Archive {
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
    private readonly r: LeaderTerm,
    private readonly o: LeaderOptions,
    private readonly estimates: Estimates,
  ) {}

  load(): void {
    const { term } = this.r.mandate;
    const sentMs = this.o.clock.nowMs();
    const deadline = sentMs + 4000;
    const rest = async (): Promise<Item[] | null> => {
      const items: Item[] = [];
      for (const key of [keys.types, keys.moves]) {
        const got = await this.o.state.get(key, deadline);
        if (got.kind === "failed") return null;
        if (got.kind === "found") items.push(got.item);
      }
      return items;
    };
    void Promise.all([
      // Heads before chunks: a chunk whose job is not among the heads is then certainly nobody's.
      this.o.state.list(keys.live, deadline).then(async (heads) => ({
        heads,
        chunks: await this.o.state.list(keys.chunks, deadline),
      })),
      rest(),
    ]).then(([{ heads, chunks }, items]) =>
      this.o.tell({ kind: "loaded", term, heads, chunks, rest: items, sentMs }),
    );
  }

  loaded(heads: ListOutcome, chunks: ListOutcome, rest: Item[] | null, sentMs: number): void {
    if (heads.kind === "failed" || chunks.kind === "failed" || !rest) {
      this.o.clock.after(200, () => {
        if (!this.r.over) this.load();
      });
      return;
    }
    for (const item of rest) {
      if (item.key === keys.types) {
        this.typesVersion = item.version;
        const types = decodeTypes(item.value);
        if (types && !this.estimates.typesKnown)
          this.o.tell({ kind: "cloud", news: { kind: "types", types, stored: true } });
      } else if (item.key === keys.moves) this.movesVersion = item.version;
    }
    for (const item of heads.items) this.learnHead(item);
    for (const item of chunks.items) this.loadChunk(item);
    this.revision = heads.revision;
    this.knownToMs = sentMs;
    this.r.loaded = true;
    log.info(
      `term ${this.r.mandate.term}: ${this.r.jobs.size} live jobs, ${this.r.machines.size} machines known`,
    );
    for (const m of this.r.machines.values()) if (m.state === "up") this.r.supervisor.digest(m);
    // A gang that had lost a member, and whose leader ended before it had told the others: they would wait for it alone.
    for (const job of this.r.jobs.values())
      if (job.spec.kind === "gang" && job.attempts.size > 0 && job.pending > 0)
        this.r.attempts.breakGang(job);
    // What came up while we read (the types, first of all) has waited for this.
    this.requestWrite(0);
    this.watch();
    this.r.placer.requestPass();
  }

  private learnHead(item: Item): void {
    const id = item.key.slice(keys.live.length);
    const head = decodeHead(item.value);
    if (!head || head.spec.id !== id) {
      log.error(`record ${item.key} can't be read`);
      return;
    }
    const job = this.r.jobs.get(id);
    if (job) {
      if (item.version < job.headVersion) return;
      job.headVersion = item.version;
      if (head.cancelledAt !== null && !job.cancelled) this.r.attempts.cancelJob(job, head.cancelledAt);
      return;
    }
    const ageMs = Math.max(0, this.o.clock.today().getTime() - head.acceptedAt.getTime());
    this.r.jobsVersion++;
    this.estimates.profile(head.spec);
    this.r.jobs.set(id, Job.fromHead(head, item.version, this.o.clock.nowMs() - ageMs));
  }

  private loadChunk(item: Item): void {
    const parts = item.key.split("/");
    const job = this.r.jobs.get(parts[1] ?? "");
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
      const machine = this.r.machine(a.machine, a.zone);
      this.r.attempts.attach({
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
        plannedMs: this.o.clock.nowMs(),
        runningMs: null,
        stop: job.cancelled ? newStop(this.o.clock.nowMs(), 0) : null,
      });
    }
  }

  private watch(): void {
    const { term } = this.r.mandate;
    const sentMs = this.o.clock.nowMs();
    void this.o.state
      .watch(keys.live, this.revision, WATCH_MS)
      .then((outcome) => this.o.tell({ kind: "watched", term, outcome, sentMs }));
  }

  watched(outcome: WatchOutcome, sentMs: number): void {
    if (outcome.kind === "too old") {
      // Heads may have come and been cancelled unseen: read them all again.
      const { term } = this.r.mandate;
      const listedMs = this.o.clock.nowMs();
      void this.o.state.list(keys.live, listedMs + 4000).then((list) => {
        const outcome: WatchOutcome =
          list.kind === "ok"
            ? { kind: "ok", revision: list.revision, events: list.items }
            : { kind: "too old" };
        this.o.clock.after(list.kind === "ok" ? 0 : 300, () =>
          this.o.tell({ kind: "watched", term, outcome, sentMs: listedMs }),
        );
      });
      return;
    }
    if (outcome.kind === "failed") {
      this.o.clock.after(250, () => {
        if (!this.r.over) this.watch();
      });
      return;
    }
    this.revision = Math.max(this.revision, outcome.revision);
    for (const event of outcome.events) if (!("gone" in event)) this.learnHead(event);
    this.knownToMs = Math.max(this.knownToMs, sentMs);
    this.watch();
    this.r.placer.requestPass();
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
    const atMs = this.o.clock.nowMs() + delayMs;
    if (this.writing || atMs >= this.writeAtMs) return;
    this.writeAtMs = atMs;
    this.timer?.cancel();
    const { term } = this.r.mandate;
    if (delayMs === 0) this.o.tell({ kind: "write", term });
    else this.timer = this.o.clock.after(delayMs, () => this.o.tell({ kind: "write", term }));
  }

  writeNow(): void {
    this.writeAtMs = Infinity;
    this.write();
  }

  private write(): void {
    if (!this.r.loaded || this.writing) return;
    if (!this.r.full()) {
      this.heldBack = true;
      return;
    }
    const { platform, state, clock } = this.o;
    const room = state.writeRoom();
    if (room < 1) {
      this.requestWrite(Math.max(10, state.writeWaitMs(1)));
      return;
    }
    const limits = {
      changes: Math.min(platform.stateTxnOps, Math.max(room, 4)),
      // Results leave room for starts, and for what other controllers accept.
      lazy: Math.max(1, room - LAZY_ROOM),
      bytes: 60 * 1024,
    };
    const t = composeTransaction(this.r.jobs.values(), this.garbage, this.r.mandate.termVersion, limits);
    if (this.r.rounds.moves && t.changes.length < limits.changes) {
      // A round's moves go in one write, before any of them begins.
      t.guards.push({ key: keys.moves, version: this.movesVersion });
      t.changes.push({ put: keys.moves, value: { term: this.r.mandate.term, moves: this.r.rounds.moves } });
      t.moves = this.r.rounds.moves;
    }
    if (this.typesDirty && t.changes.length < limits.changes) {
      t.guards.push({ key: keys.types, version: this.typesVersion });
      t.changes.push({ put: keys.types, value: encodeTypes(this.estimates.types) });
      t.types = true;
    }
    if (t.changes.length === 0) {
      // What is pressing may just be larger than what we may write at the moment.
      if (this.hasUrgent()) this.requestWrite(Math.max(50, state.writeWaitMs(8)));
      return;
    }
    this.writing = true;
    for (const part of t.parts) {
      if (!part.chunk) continue;
      part.chunk.dirty = false;
      part.chunk.urgent = false;
    }
    const { term } = this.r.mandate;
    void state
      .commit(t.guards, t.changes, clock.nowMs() + 2000)
      .then((outcome) => this.o.tell({ kind: "committed", term, transaction: t, outcome }));
  }

  committed(t: Transaction, outcome: CommitOutcome): void {
    this.writing = false;
    if (outcome.kind === "ok") {
      this.applied(t, outcome.revision);
      this.requestWrite(this.hasUrgent() ? 0 : LAZY_WRITE_MS);
      return;
    }
    for (const part of t.parts) {
      if (!part.chunk) continue;
      part.chunk.dirty = true;
      // Planned attempts in it still wait.
      if ([...part.chunk.attempts.values()].some((a) => !a.durable)) part.chunk.urgent = true;
    }
    if (outcome.kind === "conflict") {
      if (outcome.failed.includes(keys.term)) {
        this.o.onDeposed(this.r.mandate.term);
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
    for (const job of this.r.jobs.values()) {
      if (job.over) return true;
      for (const c of job.chunks.values()) if (c.urgent) return true;
    }
    return this.r.rounds.moves !== null;
  }

  private applied(t: Transaction, revision: number): void {
    const touched = new Set<Machine>();
    for (const key of t.garbage) this.garbage.delete(key);
    for (const part of t.parts) {
      if (!part.chunk) {
        this.finished(part.job, t);
        continue;
      }
      part.chunk.version = revision;
      part.chunk.durableDone = part.done!;
      for (const a of part.attempts) {
        if (a.durable) continue;
        a.durable = true;
        if (a.machine.attempts.has(a)) touched.add(a.machine);
      }
    }
    if (t.moves) {
      this.movesVersion = revision;
      if (this.r.rounds.moves === t.moves) this.r.rounds.beginMoves();
    }
    if (t.types) {
      this.typesVersion = revision;
      this.typesDirty = false;
    }
    for (const m of touched) this.r.supervisor.sendSoon(m);
  }

  private finished(job: Job, t: Transaction | null): void {
    const dropped = new Set((t?.changes ?? []).map((c) => ("drop" in c ? c.drop : "")));
    for (const c of job.chunks.values()) {
      const key = keys.chunk(job.id, c.index);
      if (c.version > 0 && !dropped.has(key)) this.garbage.set(key, c.version);
    }
    this.r.jobsVersion++;
    this.r.jobs.delete(job.id);
    this.r.rounds.prefer.delete(job.id);
  }

  private rereadKey(key: string): void {
    if (this.rereading.has(key)) return;
    this.rereading.add(key);
    const { term } = this.r.mandate;
    void this.o.state.get(key, this.o.clock.nowMs() + 2000).then((got) => {
      this.o.tell({
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
      this.o.clock.after(200, () => {
        if (!this.r.over) this.rereadKey(key);
      });
      return;
    }
    const [prefix, id, index] = key.split("/");
    const job = this.r.jobs.get(id ?? "");
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
