import type { JobSpec, MachineType, Report, ReportedTask } from "../protocol/model.js";
import { encodeElsewhere, encodeResponse } from "../protocol/workers.js";
import { decodeTypes, encodeTypes } from "../protocol/cloud.js";
import { Job, type Attempt } from "../bookkeeping/jobs.js";
import { Machine } from "../bookkeeping/machines.js";
import { composeTransaction, type Garbage, type Transaction } from "../bookkeeping/ledger.js";
import { decodeChunk, decodeFinal, decodeHead, keys } from "../bookkeeping/records.js";
import type {
  CommitOutcome,
  Item,
  ListOutcome,
  StateClient,
  WatchOutcome,
} from "../bookkeeping/stateClient.js";
import { Usage } from "../bookkeeping/usage.js";
import type { Operator } from "../settings/operator.js";
import type { Platform } from "../settings/platform.js";
import type { Clock, Timer } from "../transport/clock.js";
import type { Answer } from "../transport/httpServer.js";
import { Actor } from "../transport/mailbox.js";
import { log } from "../transport/log.js";
import type { CloudDesk, CloudNews, RentOrder } from "./cloudDesk.js";
import { writeLetter } from "./commands.js";
import type { Courier, ErrandResult } from "./courier.js";
import type { ElectionNews, Mandate } from "./election.js";
import { absenceProves, firstAttempt, firstToken, leaseOverMs } from "./fences.js";
import { wishToRent } from "./fleet.js";
import { Learner } from "./learning.js";
import { loadOf } from "./magnet/rings.js";
import { release, type MeasuredMachine } from "./magnet/release.js";
import { squeeze, type LoadedTask, type Move } from "./magnet/squeeze.js";
import { isIsolated } from "./strays.js";
import { place, type PlacementPlan } from "./placement.js";
import { serveOrder, wishedS, withinGuarantee, type QueueEntry } from "./queue.js";
import {
  allows,
  emptyView,
  zoneRoom,
  type Claim,
  type JobView,
  type MachineView,
  type VictimView,
} from "./views.js";

export type ConductorMessage =
  | { kind: "election"; news: ElectionNews }
  | { kind: "report"; report: Report; reply: (answer: Answer) => void }
  | { kind: "loaded"; term: number; heads: ListOutcome; chunks: ListOutcome; rest: Item[] | null }
  | { kind: "watched"; term: number; outcome: WatchOutcome }
  | { kind: "reread"; term: number; key: string; item: Item | null; ok: boolean }
  | { kind: "committed"; term: number; transaction: Transaction; outcome: CommitOutcome }
  | { kind: "errand"; result: ErrandResult }
  | { kind: "cloud"; news: CloudNews }
  | { kind: "astray"; machines: number }
  | { kind: "pass"; term: number }
  | { kind: "write"; term: number }
  | { kind: "tick" };

export interface ConductorOptions {
  platform: Platform;
  operator: Operator;
  state: StateClient;
  clock: Clock;
  cloud: CloudDesk;
  courier: Courier;
  onDeposed: (term: number) => void;
  /** Nobody's reports reach us, though others get them. */
  onIsolated: (term: number) => void;
  onTypes: (types: MachineType[]) => void;
  onTally: (term: number, jobs: { id: string; done: number; running: number }[]) => void;
}

/** Everything that one term's leader knows. Thrown away whole with the term. */
interface Reign {
  mandate: Mandate;
  loaded: boolean;
  revision: number;
  jobs: Map<string, Job>;
  machines: Map<string, Machine>;
  removed: Set<string>;
  usage: Usage;
  garbage: Garbage;
  nextAttempt: number;
  nextRequest: number;
  renting: Map<string, RentOrder>;
  refusedUntilMs: Map<string, number>;
  /** Refusals in a row, by type, zone and kind. */
  refusals: Map<string, number>;
  writing: boolean;
  writeSet: boolean;
  passSet: boolean;
  typesVersion: number;
  typesDirty: boolean;
  movesVersion: number;
  moves: Move[] | null;
  movesRefs: Map<number, Attempt>;
  lastRoundMs: number;
  lastListMs: number;
  lastTypesMs: number;
  lastTallyMs: number;
  startedMs: number;
  errands: Set<string>;
  waiting: Set<string>;
  rereading: Set<string>;
  prefer: Map<string, { machine: string; untilMs: number }>;
}

const TICK_MS = 250;
const PASS_DELAY_MS = 3;
const LAZY_WRITE_MS = 400;
/** So long after its election a leader looks for machines that have not found it. */
const SEEK_MS = 15_000;
const WATCH_MS = 20_000;
/** A faulty machine that still holds work is tried again after this. */
const FAULTY_MS = 90_000;
/** What the cloud refused is asked for again after this, then after twice as long, and so on. */
const FIRST_REFUSED_MS = 8000;
const MAX_REFUSED_MS = 40_000;
/** Rentals under way at the same time. */
const MAX_ORDERS = 3;

export class Conductor extends Actor<ConductorMessage> {
  private reign: Reign | null = null;
  private leader: string | null = null;
  private readonly controllerZones: Set<string>;
  private types: MachineType[] = [];
  private typesKnown = false;
  private learner = new Learner();
  private readonly gpuClasses = new Map<string, JobSpec>();
  private timer: Timer | null = null;
  private stopped = false;

  constructor(private readonly o: ConductorOptions) {
    super();
    this.controllerZones = new Set([o.platform.zone, ...o.platform.peers.map((p) => p.zone)]);
  }

  start(): void {
    this.tell({ kind: "tick" });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  protected override failed(message: ConductorMessage, error: unknown): void {
    log.error(`conductor: ${message.kind}: ${String((error as Error)?.stack ?? error)}`);
    if (message.kind === "report") message.reply({ status: 503, body: {} });
  }

  protected override handle(message: ConductorMessage): void {
    switch (message.kind) {
      case "election":
        this.elected(message.news);
        return;
      case "report":
        this.reported(message.report, message.reply);
        return;
      case "tick":
        this.tick();
        return;
      case "cloud":
        this.heardFromCloud(message.news);
        return;
      case "errand":
        this.errandBack(message.result);
        return;
      case "astray":
        this.astray(message.machines);
        return;
      default:
        break;
    }
    // Whatever belongs to a term that is over is dropped.
    const r = this.reign;
    if (!r || r.mandate.term !== message.term) return;
    switch (message.kind) {
      case "loaded":
        this.loaded(r, message.heads, message.chunks, message.rest);
        break;
      case "watched":
        this.watched(r, message.outcome);
        break;
      case "reread":
        this.reread(r, message.key, message.item, message.ok);
        break;
      case "committed":
        this.committed(r, message.transaction, message.outcome);
        break;
      case "pass":
        r.passSet = false;
        this.pass(r);
        break;
      case "write":
        r.writeSet = false;
        this.write(r);
        break;
    }
  }

  // ---------------------------------------------------------------- the term

  private elected(news: ElectionNews): void {
    this.leader = news.leader;
    const { mandate } = news;
    if (!mandate) {
      this.reign = null;
      return;
    }
    if (this.reign && this.reign.mandate.term === mandate.term) {
      this.reign.mandate = mandate;
      return;
    }
    const now = this.o.clock.nowMs();
    this.reign = {
      mandate,
      loaded: false,
      revision: 0,
      jobs: new Map(),
      machines: new Map(),
      removed: new Set(),
      usage: new Usage(this.o.platform.teams),
      garbage: new Map(),
      nextAttempt: firstAttempt(mandate.term),
      nextRequest: 0,
      renting: new Map(),
      refusedUntilMs: new Map(),
      refusals: new Map(),
      writing: false,
      writeSet: false,
      passSet: false,
      typesVersion: 0,
      typesDirty: false,
      movesVersion: 0,
      moves: null,
      movesRefs: new Map(),
      lastRoundMs: now,
      lastListMs: -Infinity,
      lastTypesMs: this.typesKnown ? now : -Infinity,
      lastTallyMs: -Infinity,
      startedMs: now,
      errands: new Set(),
      waiting: new Set(),
      rereading: new Set(),
      prefer: new Map(),
    };
    this.load(this.reign);
  }

  private full(r: Reign): boolean {
    return this.o.clock.nowMs() < r.mandate.fullUntilMs;
  }

  private load(r: Reign): void {
    const { term } = r.mandate;
    const deadline = this.o.clock.nowMs() + 4000;
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
    ]).then(([{ heads, chunks }, items]) => this.tell({ kind: "loaded", term, heads, chunks, rest: items }));
  }

  private loaded(r: Reign, heads: ListOutcome, chunks: ListOutcome, rest: Item[] | null): void {
    if (heads.kind === "failed" || chunks.kind === "failed" || !rest) {
      this.o.clock.after(200, () => {
        if (this.reign === r) this.load(r);
      });
      return;
    }
    for (const item of rest) {
      if (item.key === keys.types) {
        r.typesVersion = item.version;
        const types = decodeTypes(item.value);
        if (types && !this.typesKnown) this.setTypes(types, false);
      } else if (item.key === keys.moves) r.movesVersion = item.version;
    }
    for (const item of heads.items) this.learnHead(r, item);
    for (const item of chunks.items) this.loadChunk(r, item);
    r.revision = heads.revision;
    r.loaded = true;
    log.info(`term ${r.mandate.term}: ${r.jobs.size} live jobs, ${r.machines.size} machines known`);
    for (const m of r.machines.values()) if (m.state === "up") this.digest(r, m);
    this.watch(r);
    this.requestPass(r);
  }

  private learnHead(r: Reign, item: Item): void {
    const id = item.key.slice(keys.live.length);
    const head = decodeHead(item.value);
    if (!head || head.spec.id !== id) {
      log.error(`record ${item.key} can't be read`);
      return;
    }
    const job = r.jobs.get(id);
    if (job) {
      if (item.version < job.headVersion) return;
      job.headVersion = item.version;
      if (head.cancelled && !job.cancelled) this.cancelJob(r, job);
      return;
    }
    const ageMs = Math.max(0, this.o.clock.today().getTime() - head.acceptedAt.getTime());
    r.jobs.set(id, Job.fromHead(head, item.version, this.o.clock.nowMs() - ageMs));
  }

  private loadChunk(r: Reign, item: Item): void {
    const parts = item.key.split("/");
    const job = r.jobs.get(parts[1] ?? "");
    const index = Number(parts[2]);
    const record = decodeChunk(item.value);
    if (!job) {
      r.garbage.set(item.key, item.version);
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
      const machine = this.machine(r, a.machine, a.zone);
      this.attach(r, {
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

  private machine(r: Reign, name: string, zone: string): Machine {
    let m = r.machines.get(name);
    if (!m) {
      m = new Machine(name, null, zone, false, firstToken(r.mandate.term), this.o.clock.nowMs());
      r.machines.set(name, m);
    }
    return m;
  }

  private watch(r: Reign): void {
    const { term } = r.mandate;
    void this.o.state
      .watch(keys.live, r.revision, WATCH_MS)
      .then((outcome) => this.tell({ kind: "watched", term, outcome }));
  }

  private watched(r: Reign, outcome: WatchOutcome): void {
    if (outcome.kind === "too old") {
      // Heads may have come and been cancelled unseen: read them all again.
      const { term } = r.mandate;
      void this.o.state.list(keys.live, this.o.clock.nowMs() + 4000).then((list) => {
        const outcome: WatchOutcome =
          list.kind === "ok"
            ? { kind: "ok", revision: list.revision, events: list.items }
            : { kind: "too old" };
        this.o.clock.after(list.kind === "ok" ? 0 : 300, () => this.tell({ kind: "watched", term, outcome }));
      });
      return;
    }
    if (outcome.kind === "failed") {
      this.o.clock.after(250, () => {
        if (this.reign === r) this.watch(r);
      });
      return;
    }
    r.revision = Math.max(r.revision, outcome.revision);
    for (const event of outcome.events) if (!("gone" in event)) this.learnHead(r, event);
    this.watch(r);
    this.requestPass(r);
  }

  // ---------------------------------------------------------------- attempts

  private attach(r: Reign, a: Attempt): void {
    a.job.attach(a);
    a.machine.attach(a);
    r.usage.add(a.job.spec, 1);
  }

  /** The attempt is proved gone, or was never sent: place and quota are free again. */
  private gone(r: Reign, a: Attempt): void {
    if (!a.machine.attempts.has(a)) return;
    const { job, machine } = a;
    job.detach(a);
    machine.detach(a, this.o.clock.nowMs());
    r.usage.add(job.spec, -1);
    const { image } = job.spec;
    if (machine.fetching.has(image) && ![...machine.attempts].some((b) => b.job.spec.image === image)) {
      machine.imageGivenUp(image);
    }
    if (!job.cancelled) job.requeue(a.task);
    this.requestPass(r);
    this.requestWrite(r, job.over ? 0 : LAZY_WRITE_MS);
  }

  private stopAttempt(r: Reign, a: Attempt, graceS: number): void {
    if (a.stop) {
      if (graceS < a.stop.graceS) a.stop = newStop(this.o.clock.nowMs(), graceS);
      else return;
    } else a.stop = newStop(this.o.clock.nowMs(), graceS);
    if (!a.inherited && a.sentToken < 0) {
      // Never sent, so there is nothing to stop.
      this.gone(r, a);
      return;
    }
    this.sendSoon(r, a.machine);
  }

  /** Stops a task the orderly way; a gang only ever as a whole. */
  private stopOrderly(r: Reign, a: Attempt): void {
    const { spec } = a.job;
    const grace = spec.checkpointS > 0 ? spec.saveS + 1 : 0;
    if (spec.kind === "gang") for (const b of [...a.job.attempts]) this.stopAttempt(r, b, grace);
    else this.stopAttempt(r, a, grace);
  }

  private cancelJob(r: Reign, job: Job): void {
    job.cancelled = true;
    for (const a of [...job.attempts]) this.stopAttempt(r, a, 0);
    if (job.over) this.requestWrite(r, 0);
  }

  private done(r: Reign, job: Job, task: number): void {
    if (!job.markDone(task)) return;
    // A gang completes together: when one task is done, all of them are.
    if (job.spec.kind === "gang") {
      for (let t = 0; t < job.spec.tasks; t++) job.markDone(t);
      // A member that was started once more after its gang was done waits for nobody.
      for (const a of [...job.attempts]) this.stopAttempt(r, a, 0);
    }
    this.requestWrite(r, job.over ? 0 : LAZY_WRITE_MS);
  }

  // ---------------------------------------------------------------- workers

  private reported(report: Report, reply: (answer: Answer) => void): void {
    const r = this.reign;
    const now = this.o.clock.nowMs();
    if (!r || now >= r.mandate.ackUntilMs) {
      const elsewhere = r ? null : this.leader;
      if (elsewhere === null) reply({ status: 503, body: {} });
      else reply({ status: 421, body: encodeElsewhere(elsewhere) });
      return;
    }
    if (report.token >= firstToken(r.mandate.term + 1)) {
      // A later leader has spoken to it: a 200 from us would be dropped and hold the worker here.
      reply({ status: 503, body: {} });
      this.o.onDeposed(r.mandate.term);
      return;
    }
    if (r.removed.has(report.machine)) {
      reply({ status: 503, body: {} });
      return;
    }
    const m = this.machine(r, report.machine, report.zone);
    const fresh = this.absorb(r, m, report);
    m.lastAckMs = now;
    m.lastHeardMs = now;
    if (!r.loaded) {
      // Keep its lease; what it has to do is known once the records are read.
      reply({ status: 200, body: encodeResponse(m.token, []) });
      return;
    }
    const raise = fresh ? this.digest(r, m) : false;
    const letter = writeLetter(m, r.jobs, now, { starts: this.full(r) && fresh, raise, direct: false });
    reply({ status: 200, body: encodeResponse(letter.token, letter.commands) });
    if (m.noticeNew) {
      m.noticeNew = false;
      this.drainTaken(r, m);
    }
  }

  /** Takes over what a report says of the machine itself; false when a newer one is known. */
  private absorb(r: Reign, m: Machine, report: Report): boolean {
    if (report.session < m.session || (report.session === m.session && report.tick <= m.tick)) return false;
    const now = this.o.clock.nowMs();
    if (m.session > 0 && report.session > m.session)
      log.info(`${m.name}: session ${report.session}, its tasks are gone`);
    m.session = report.session;
    m.tick = report.tick;
    m.seenToken = report.token;
    m.address = report.address;
    m.zone = report.zone;
    m.spot = report.spot;
    m.type = this.types.find((t) => t.name === report.type) ?? m.type;
    m.reported = report.tasks;
    if (
      m.attempts.size === 0 &&
      (m.state === "booting" || now - m.lastHeardMs > this.o.operator.suspectS * 1000)
    ) {
      // Its idle time begins when it can be used (again): neither its boot nor its silence counts.
      m.idleSinceMs = now;
    }
    if (m.state === "booting") {
      m.state = "up";
      log.info(
        `${m.name}: up after ${((now - m.bornMs) / 1000).toFixed(1)} s (${report.type} ${m.zone}${m.spot ? " spot" : ""})`,
      );
      this.requestPass(r);
    }
    if (report.noticeS !== null) {
      if (m.takenAtMs === null) {
        m.noticeNew = true;
        log.info(`${m.name}: will be taken in ${report.noticeS.toFixed(1)} s`);
      }
      m.takenAtMs = now + report.noticeS * 1000;
    }
    return true;
  }

  /** Draws conclusions from the newest report; true when the next answer should carry a higher token. */
  private digest(r: Reign, m: Machine): boolean {
    const now = this.o.clock.nowMs();
    const floor = firstToken(r.mandate.term);
    const listed = new Map<string, ReportedTask>();
    for (const t of m.reported) listed.set(`${t.jobId}/${t.task}/${t.attempt}`, t);
    let raise = false;
    for (const a of [...m.attempts]) {
      const t = listed.get(`${a.job.id}/${a.task}/${a.attempt}`);
      if (t) {
        if (t.phase === "exited") this.exited(r, a, t);
        else this.seen(r, a, t);
        continue;
      }
      const report = { session: m.session, token: m.seenToken };
      if (absenceProves(a, report, floor)) {
        if (!a.inherited && a.phase === null && !a.stop && a.sentSession === m.session) {
          // Certainly not there and never was: the same start may be sent anew.
          a.sentToken = -1;
          this.sendSoon(r, m);
        } else this.lost(r, a);
      } else if (a.inherited || (a.sentToken >= 0 && (a.phase !== null || a.stop) && now - a.sentMs > 1000)) {
        // Only a report under a higher token can prove it gone.
        if (a.sentToken >= m.token) raise = true;
      }
    }
    for (const t of m.reported) {
      if (t.phase !== "exited" || t.cause !== "done") continue;
      const job = r.jobs.get(t.jobId);
      // A result counts whichever attempt brought it.
      if (job && !job.isDone(t.task) && !job.attemptOf(t.task)) this.done(r, job, t.task);
    }
    return raise;
  }

  /** An attempt ended without a word: with its machine, its session, or by a fence. */
  private lost(r: Reign, a: Attempt): void {
    const { job } = a;
    log.debug(() => `${job.id}/${a.task} is gone from ${a.machine.name}`);
    this.gone(r, a);
    if (job.spec.kind === "gang") this.breakGang(r, job);
  }

  /** A gang that lost a member starts again whole: the others are told to go. */
  private breakGang(r: Reign, job: Job): void {
    if (job.allDone) return;
    for (const b of [...job.attempts]) this.stopAttempt(r, b, 0);
  }

  private seen(r: Reign, a: Attempt, t: ReportedTask): void {
    const now = this.o.clock.nowMs();
    a.inherited = false;
    if (a.sentToken < 0) {
      // Started by an earlier leader: fence against that one's copies, too.
      a.sentToken = firstToken(r.mandate.term) - 1;
      a.sentSession = a.machine.session;
    }
    const phase = t.phase === "exited" ? null : t.phase;
    if (phase !== "fetching" && a.machine.fetching.has(a.job.spec.image))
      a.machine.imageReady(a.job.spec.image);
    if (phase === "running" && a.runningMs === null) {
      a.runningMs = now;
      log.debug(
        () =>
          `${a.job.id}/${a.task} (${a.job.spec.className}) runs on ${a.machine.name}, ` +
          `${((now - a.job.bornMs) / 1000).toFixed(2)} s after its submission, ${((now - a.plannedMs) / 1000).toFixed(2)} s after its plan`,
      );
    }
    a.phase = phase;
    if (a.job.cancelled && !a.stop) this.stopAttempt(r, a, 0);
  }

  private exited(r: Reign, a: Attempt, t: ReportedTask): void {
    const { job, machine: m } = a;
    const now = this.o.clock.nowMs();
    const ranS = a.runningMs === null ? 0 : (now - a.runningMs) / 1000;
    machineImage(m, job, t);
    this.gone(r, a);
    switch (t.cause) {
      case "done":
        m.failures.clear();
        if (ranS > 0) this.learner.ran(job.spec.className, ranS, job.spec.estimateS);
        this.done(r, job, a.task);
        return;
      case "error":
        job.errors++;
        m.failures.set(job.id, (m.failures.get(job.id) ?? 0) + 1);
        job.avoid.set(m.name, now + 60_000);
        // A job with a mistake fails everywhere: try it less and less often.
        job.notBeforeMs = now + Math.min(15_000, 100 * 2 ** Math.min(8, Math.max(0, job.errors - 2)));
        this.judge(r, m);
        break;
      case "no_room":
        job.avoid.set(m.name, now + 2000);
        break;
      case "in_use":
        job.avoid.set(m.name, now + 3000);
        break;
      case "unknown":
        job.notBeforeMs = now + 1000;
        break;
      default:
        break;
    }
    if (job.spec.kind === "gang") this.breakGang(r, job);
  }

  /**
   * A machine on which jobs fail that run well elsewhere, or several jobs and nothing succeeds, is faulty. It gets no
   * new work; what runs there already goes on, for such a machine fails only what it starts.
   */
  private judge(r: Reign, m: Machine): void {
    if (m.cordoned || !looksFaulty(m, r.jobs)) return;
    this.cordon(m, "fails what it starts");
    m.cordonUntilMs = this.o.clock.nowMs() + FAULTY_MS;
    m.failures.clear();
    for (const a of [...m.attempts]) if (a.phase === null || a.phase === "fetching") this.stopOrderly(r, a);
  }

  private cordon(m: Machine, reason: string): void {
    if (m.cordoned) return;
    m.cordoned = true;
    m.cordonReason = reason;
    log.info(`${m.name}: no new work: ${reason}`);
  }

  /** The cloud is about to take it: whoever can save does so now, whoever can't be through in time goes. */
  private drainTaken(r: Reign, m: Machine): void {
    this.cordon(m, "the cloud takes it");
    const now = this.o.clock.nowMs();
    for (const a of [...m.attempts]) {
      const { spec } = a.job;
      const leftS = ((m.takenAtMs ?? now) - now) / 1000;
      const ranS = a.runningMs === null ? 0 : (now - a.runningMs) / 1000;
      const needS = this.learner.expectedS(spec.className, spec.estimateS) - ranS;
      if (spec.kind === "array" && spec.checkpointS === 0 && a.phase === "running" && needS < leftS * 0.6)
        continue;
      this.stopOrderly(r, a);
    }
  }

  private sendSoon(r: Reign, m: Machine): void {
    if (m.state !== "up" || m.address === "") return;
    if (r.errands.has(m.name)) {
      r.waiting.add(m.name);
      return;
    }
    if (!r.loaded || this.o.clock.nowMs() >= r.mandate.ackUntilMs) return;
    const now = this.o.clock.nowMs();
    const letter = writeLetter(m, r.jobs, now, { starts: this.full(r), raise: false, direct: true });
    if (letter.commands.length === 0) return;
    r.errands.add(m.name);
    this.o.courier.tell({
      kind: "send",
      errand: {
        machine: m.name,
        address: m.address,
        token: letter.token,
        session: m.session,
        commands: letter.commands,
      },
    });
  }

  /**
   * A new leader asks the workers for reports instead of waiting until they have found it. No session has number 0, so
   * nothing is carried out, and the refusal brings the report. The lease is not renewed by that, nor counted as if.
   */
  private seek(r: Reign, m: Machine): void {
    if (r.errands.has(m.name) || m.address === "") return;
    r.errands.add(m.name);
    const errand = { machine: m.name, address: m.address, token: m.token, session: 0, commands: [] };
    this.o.courier.tell({ kind: "send", errand });
  }

  private errandBack(result: ErrandResult): void {
    const r = this.reign;
    const m = r?.machines.get(result.errand.machine);
    if (!r || !m) return;
    r.errands.delete(m.name);
    // An errand of an earlier term of ours may come back late: its token tells.
    if (result.errand.token < firstToken(r.mandate.term)) return;
    if (result.report && r.loaded) {
      if (result.report.token >= firstToken(r.mandate.term + 1)) {
        this.o.onDeposed(r.mandate.term);
        return;
      }
      const fresh = this.absorb(r, m, result.report);
      m.lastHeardMs = this.o.clock.nowMs();
      if (fresh) this.digest(r, m);
      if (result.status === 409 && fresh) {
        // Refused whole: the starts in it were not carried out, so they may go again at once.
        for (const a of m.attempts)
          if (a.phase === null && a.sentToken === result.errand.token) a.sentMs = -Infinity;
        r.waiting.add(m.name);
      }
    }
    if (r.waiting.delete(m.name) && result.status !== null) this.sendSoon(r, m);
  }

  private astray(machines: number): void {
    const r = this.reign;
    if (!r) return;
    const now = this.o.clock.nowMs();
    let up = 0;
    let heard = 0;
    for (const m of r.machines.values()) {
      if (m.state !== "up") continue;
      up++;
      if (now - m.lastHeardMs < 1000 * this.o.platform.reportS * 2.2) heard++;
    }
    if (!isIsolated({ astray: machines, up, heard, leadingMs: now - r.startedMs })) return;
    log.info(`${machines} machines reach others, ${heard} of ${up} reach this node`);
    this.o.onIsolated(r.mandate.term);
  }

  // ---------------------------------------------------------------- writing

  private requestWrite(r: Reign, delayMs: number): void {
    if (r.writing || (r.writeSet && delayMs > 0)) return;
    const { term } = r.mandate;
    if (delayMs === 0) {
      this.tell({ kind: "write", term });
      return;
    }
    r.writeSet = true;
    this.o.clock.after(delayMs, () => this.tell({ kind: "write", term }));
  }

  private write(r: Reign): void {
    if (!r.loaded || r.writing || !this.full(r)) return;
    const { platform, state, clock } = this.o;
    const room = state.writeRoom();
    if (room < 1) {
      this.requestWrite(r, Math.max(10, state.writeWaitMs(1)));
      return;
    }
    const limits = { changes: Math.min(platform.stateTxnOps, Math.max(room, 4)), bytes: 60 * 1024 };
    const t = composeTransaction(r.jobs.values(), r.garbage, r.mandate.termVersion, limits);
    if (r.moves && t.changes.length < limits.changes) {
      // A round's moves go in one write, before any of them begins.
      t.guards.push({ key: keys.moves, version: r.movesVersion });
      t.changes.push({ put: keys.moves, value: { term: r.mandate.term, moves: r.moves } });
      t.moves = r.moves;
    }
    if (r.typesDirty && t.changes.length < limits.changes) {
      t.guards.push({ key: keys.types, version: r.typesVersion });
      t.changes.push({ put: keys.types, value: encodeTypes(this.types) });
      t.types = true;
    }
    if (t.changes.length === 0) return;
    r.writing = true;
    for (const part of t.parts) {
      if (!part.chunk) continue;
      part.chunk.dirty = false;
      part.chunk.urgent = false;
    }
    const { term } = r.mandate;
    void state
      .commit(t.guards, t.changes, clock.nowMs() + 2000)
      .then((outcome) => this.tell({ kind: "committed", term, transaction: t, outcome }));
  }

  private committed(r: Reign, t: Transaction, outcome: CommitOutcome): void {
    r.writing = false;
    if (outcome.kind === "ok") {
      this.applied(r, t, outcome.revision);
      this.requestWrite(r, this.hasUrgent(r) ? 0 : LAZY_WRITE_MS);
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
        this.o.onDeposed(r.mandate.term);
        return;
      }
      for (const key of outcome.failed) this.rereadKey(r, key);
      if (outcome.failed.length === 0) this.requestWrite(r, 100);
      return;
    }
    // Refused, or unknown: the guards make it harmless to try again; a conflict then tells what had happened.
    this.requestWrite(r, 150);
  }

  private hasUrgent(r: Reign): boolean {
    for (const job of r.jobs.values()) {
      if (job.over) return true;
      for (const c of job.chunks.values()) if (c.urgent) return true;
    }
    return r.moves !== null;
  }

  private applied(r: Reign, t: Transaction, revision: number): void {
    const touched = new Set<Machine>();
    for (const key of t.garbage) r.garbage.delete(key);
    for (const part of t.parts) {
      if (!part.chunk) {
        this.finished(r, part.job, t);
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
      r.movesVersion = revision;
      if (r.moves === t.moves) this.beginMoves(r);
    }
    if (t.types) {
      r.typesVersion = revision;
      r.typesDirty = false;
    }
    for (const m of touched) this.sendSoon(r, m);
  }

  private finished(r: Reign, job: Job, t: Transaction | null): void {
    const dropped = new Set((t?.changes ?? []).map((c) => ("drop" in c ? c.drop : "")));
    for (const c of job.chunks.values()) {
      const key = keys.chunk(job.id, c.index);
      if (c.version > 0 && !dropped.has(key)) r.garbage.set(key, c.version);
    }
    r.jobs.delete(job.id);
    r.prefer.delete(job.id);
  }

  private rereadKey(r: Reign, key: string): void {
    if (r.rereading.has(key)) return;
    r.rereading.add(key);
    const { term } = r.mandate;
    void this.o.state.get(key, this.o.clock.nowMs() + 2000).then((got) => {
      this.tell({
        kind: "reread",
        term,
        key,
        item: got.kind === "found" ? got.item : null,
        ok: got.kind !== "failed",
      });
    });
  }

  /** A guard failed: learn what stands there. Only our own unanswered writes and users' cancellations can. */
  private reread(r: Reign, key: string, item: Item | null, ok: boolean): void {
    r.rereading.delete(key);
    if (!ok) {
      this.o.clock.after(200, () => {
        if (this.reign === r) this.rereadKey(r, key);
      });
      return;
    }
    const [prefix, id, index] = key.split("/");
    const job = r.jobs.get(id ?? "");
    if (prefix === "j" && job) {
      if (item) this.learnHead(r, item);
      else this.rereadKey(r, keys.final(job.id));
    } else if (prefix === "f" && job) {
      if (item && decodeFinal(item.value)) this.finished(r, job, null);
    } else if (prefix === "c") {
      const chunk = job?.chunks.get(Number(index));
      if (chunk) chunk.version = item?.version ?? 0;
      if (r.garbage.has(key)) {
        if (item) r.garbage.set(key, item.version);
        else r.garbage.delete(key);
      }
    } else if (key === keys.types) r.typesVersion = item?.version ?? 0;
    else if (key === keys.moves) r.movesVersion = item?.version ?? 0;
    if (r.rereading.size === 0) this.requestWrite(r, 0);
  }

  // ---------------------------------------------------------------- the cloud

  private setTypes(types: MachineType[], fromCloud: boolean): void {
    if (types.length === 0) return;
    const shape = (list: MachineType[]): string =>
      JSON.stringify(list.map((t) => ({ ...t, price: 0, spotPrice: 0 })));
    const changed = !this.typesKnown || shape(types) !== shape(this.types);
    this.types = types;
    this.typesKnown = true;
    if (changed) this.o.onTypes(types);
    const r = this.reign;
    if (r) {
      for (const m of r.machines.values())
        if (m.type) m.type = types.find((t) => t.name === m.type!.name) ?? m.type;
      if (fromCloud && (changed || r.typesVersion === 0)) {
        r.typesDirty = true;
        this.requestWrite(r, 0);
      }
    }
  }

  private heardFromCloud(news: CloudNews): void {
    if (news.kind === "types") {
      if (!news.stored || !this.typesKnown) this.setTypes(news.types, !news.stored);
      if (this.reign) this.requestPass(this.reign);
      return;
    }
    const r = this.reign;
    if (!r) return;
    const now = this.o.clock.nowMs();
    switch (news.kind) {
      case "rented":
        // Of an earlier term of ours: they show up in reports and lists.
        if (!r.renting.delete(news.order.request)) return;
        for (const name of news.names) {
          if (r.removed.has(name)) continue;
          const m = this.machine(r, name, news.order.zone);
          m.spot = news.order.spot;
          m.type ??= this.types.find((t) => t.name === news.order.type) ?? null;
        }
        if (news.names.length > 0) this.available(r, news.order.type, news.order.zone, news.order.spot);
        if (news.names.length < news.order.count) this.refused(r, news.order, now);
        this.requestPass(r);
        break;
      case "no capacity":
        if (!r.renting.delete(news.order.request)) return;
        this.refused(r, news.order, now);
        this.requestPass(r);
        break;
      case "removed":
        for (const name of news.names) {
          r.removed.add(name);
          const m = r.machines.get(name);
          if (!m) continue;
          if (m.type) this.available(r, m.type.name, m.zone, m.spot);
          // The cloud's 200 to a deletion: the machine and everything on it is gone.
          for (const a of [...m.attempts]) this.lost(r, a);
          r.machines.delete(name);
        }
        this.requestPass(r);
        break;
      case "listed":
        for (const l of news.machines) {
          if (r.removed.has(l.name)) continue;
          const known = r.machines.get(l.name);
          const m = known ?? this.machine(r, l.name, l.zone);
          if (!known) {
            m.spot = l.spot;
            // Its age is the cloud's to tell: one that never comes up must not look young to each new leader.
            m.bornMs = now - l.ageS * 1000;
            log.info(`${l.name}: found in the cloud's list (${l.type} ${l.zone}, ${l.phase})`);
          }
          m.type ??= this.types.find((t) => t.name === l.type) ?? null;
          if (m.zone === "") m.zone = l.zone;
          if (m.address === "") m.address = l.address;
          if (m.state === "booting" && l.phase === "running" && now - r.startedMs < SEEK_MS) this.seek(r, m);
          if (m.state === "booting") m.spot = l.spot;
          if (l.phase === "failed") this.remove(r, m, "failed");
        }
        break;
    }
  }

  /** One was granted, or has just been given back: asking makes sense again. */
  private available(r: Reign, type: string, zone: string, spot: boolean): void {
    const key = `${type} ${zone} ${spot}`;
    r.refusals.delete(key);
    r.refusedUntilMs.delete(key);
  }

  private refused(r: Reign, order: RentOrder, now: number): void {
    const key = `${order.type} ${order.zone} ${order.spot}`;
    const before = r.refusals.get(key) ?? 0;
    r.refusals.set(key, before + 1);
    r.refusedUntilMs.set(key, now + Math.min(MAX_REFUSED_MS, FIRST_REFUSED_MS * 2 ** before));
  }

  private remove(r: Reign, m: Machine, reason: string): void {
    if (m.state === "leaving") return;
    log.info(`${m.name}: given back: ${reason}`);
    m.state = "leaving";
    this.o.cloud.tell({ kind: "remove", names: [m.name] });
  }

  // ---------------------------------------------------------------- time

  private tick(): void {
    if (this.stopped) return;
    this.timer = this.o.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    const now = this.o.clock.nowMs();
    const r = this.reign;
    if (!r) return;
    if (now - r.lastTypesMs > (this.typesKnown ? 60_000 : 2000)) {
      r.lastTypesMs = now;
      this.o.cloud.tell({ kind: "types" });
    }
    if (!r.loaded) return;
    if (now - r.lastListMs > Math.max(4000, this.o.platform.listLagS * 1000)) {
      r.lastListMs = now;
      this.o.cloud.tell({ kind: "list" });
    }
    if (now - r.lastTallyMs > 1000) {
      r.lastTallyMs = now;
      this.tally(r);
    }
    if (!this.full(r)) return;
    this.superviseAll(r, now);
    if (now - r.lastRoundMs > this.o.operator.elapseS * 1000) this.round(r, now);
    this.requestPass(r);
    if (r.garbage.size > 0) this.requestWrite(r, LAZY_WRITE_MS);
  }

  private tally(r: Reign): void {
    const jobs = [];
    for (const job of r.jobs.values())
      jobs.push({ id: job.id, done: job.doneCount, running: job.runningCount() });
    this.o.onTally(r.mandate.term, jobs.slice(0, 2000));
  }

  private superviseAll(r: Reign, now: number): void {
    const { operator, platform } = this.o;
    // Until its lease is over, its tasks count as running and may come back; after that their place is free without
    // giving the machine back, and most silent machines do come back.
    const silentAfter = Math.max(operator.abandonS, platform.leaseS + 2) * 1000;
    // When most of a zone is silent at once, its machines are probably well and only we can't hear them:
    // their leases prove their tasks gone, and giving all of them back would leave nothing to come back to.
    const zones = new Map<string, { up: number; silent: number }>();
    for (const m of r.machines.values()) {
      if (m.state !== "up") continue;
      const z = zones.get(m.zone) ?? { up: 0, silent: 0 };
      z.up++;
      if (now - m.lastHeardMs > operator.suspectS * 1000) z.silent++;
      zones.set(m.zone, z);
    }
    for (const m of [...r.machines.values()]) {
      if (m.state === "leaving") continue;
      if (m.cordoned && now > m.cordonUntilMs) m.cordoned = false;
      if (m.state === "booting") {
        const boot = m.type?.bootS ?? 60;
        // Known only from a record, and silent since this term began: its lease proves the tasks gone, also those
        // whose start is still on its way, for that names a session that is over. The machine may yet come back.
        if (
          m.attempts.size > 0 &&
          now >= leaseOverMs(Math.max(m.lastAckMs, r.mandate.othersSilentFromMs), platform.leaseS)
        ) {
          log.info(`${m.name}: not heard of in this term, its lease is over`);
          for (const a of [...m.attempts]) this.lost(r, a);
        }
        const sinceMs = m.attempts.size > 0 ? Math.max(m.bornMs, r.startedMs) : m.bornMs;
        const limit = m.attempts.size > 0 ? platform.leaseS * 2 + 10 : boot * 3 + 30;
        if (now - sinceMs > limit * 1000 && now - r.startedMs > 5000) this.remove(r, m, "never came up");
        continue;
      }
      const silence = now - m.lastHeardMs;
      if (m.attempts.size > 0) {
        const ack = Math.max(m.lastAckMs, r.mandate.othersSilentFromMs);
        if (now >= leaseOverMs(ack, platform.leaseS)) {
          log.info(`${m.name}: silent for ${(silence / 1000).toFixed(1)} s, its lease is over`);
          for (const a of [...m.attempts]) this.lost(r, a);
        }
      }
      const zone = zones.get(m.zone)!;
      const mass = zone.silent >= 3 && zone.silent * 2 > zone.up;
      if (silence > (mass ? 90_000 : silentAfter)) {
        this.remove(r, m, `silent for ${(silence / 1000).toFixed(1)} s`);
        continue;
      }
      if (m.takenAtMs !== null && now > m.takenAtMs + 5000 && silence > 4000) {
        this.remove(r, m, "taken by the cloud");
        continue;
      }
      if (m.attempts.size === 0 && m.idleSinceMs !== null) {
        if (m.cordoned) this.remove(r, m, m.cordonReason);
        else if (
          silence < operator.suspectS * 1000 &&
          now - m.idleSinceMs > operator.idleKeepS * 1000 &&
          now - m.bornMs > 58_000
        )
          this.remove(r, m, "idle");
        continue;
      }
      for (const a of m.attempts) {
        if (a.stop && now - a.stop.lastSentMs > 1500 && silence < 3000) {
          this.sendSoon(r, m);
          break;
        }
      }
    }
  }

  // ---------------------------------------------------------------- placing

  private requestPass(r: Reign): void {
    if (r.passSet) return;
    r.passSet = true;
    const { term } = r.mandate;
    this.o.clock.after(PASS_DELAY_MS, () => this.tell({ kind: "pass", term }));
  }

  private pass(r: Reign): void {
    if (!r.loaded || !this.full(r) || !this.typesKnown) return;
    const now = this.o.clock.nowMs();
    const guaranteed = withinGuarantee(r.jobs.values(), r.usage.teams);
    const entries: QueueEntry[] = [];
    for (const job of r.jobs.values()) {
      if (job.cancelled || job.pending <= 0 || job.notBeforeMs > now) continue;
      entries.push(this.entry(job, guaranteed.has(job), now));
    }
    if (entries.length === 0) return;
    const entriesInOrder = serveOrder(entries, (priority) => this.roomFor(r, priority));
    const refs: Attempt[] = [];
    const machines: MachineView[] = [];
    const coming: MachineView[] = [];
    for (const job of r.jobs.values()) this.profile(job);
    for (const m of r.machines.values()) {
      if (!m.type || m.state === "leaving" || m.cordoned || m.takenAtMs !== null) continue;
      const view = this.view(r, m, m.type, guaranteed, refs, now);
      if (m.state === "up") {
        if (view.placeable) machines.push(view);
      } else coming.push(view);
    }
    for (const order of r.renting.values()) {
      const type = this.types.find((t) => t.name === order.type);
      if (type)
        for (let i = 0; i < order.count; i++)
          coming.push(emptyView(type, order.zone, order.spot, this.claimOn(type, order.spot)));
    }
    const budget = new Map<string, { cpus: number; gpus: number }>();
    const plan = place({
      jobs: entriesInOrder.map((e) => this.jobView(r, e, now)),
      machines,
      quota: {
        room: (spec) => r.usage.room(spec, budget.get(spec.team)),
        take: (spec, tasks) => {
          const extra = budget.get(spec.team) ?? { cpus: 0, gpus: 0 };
          extra.cpus += spec.cpus * tasks;
          extra.gpus += spec.gpus * tasks;
          budget.set(spec.team, extra);
        },
      },
      maxEvictions: 40,
    });
    this.carryOut(r, plan, refs, now);
    this.rent(r, plan, coming);
  }

  private entry(job: Job, guaranteed: boolean, now: number): QueueEntry {
    const { spec } = job;
    const taskS = Math.max(1, this.learner.expectedS(spec.className, spec.estimateS));
    const agoS = (now - job.bornMs) / 1000;
    let runningS = 0;
    for (const a of job.attempts) {
      runningS += Math.max(1, taskS - (a.runningMs === null ? 0 : (now - a.runningMs) / 1000));
    }
    return {
      job,
      id: job.id,
      priority: spec.priority,
      guaranteed,
      duesS: wishedS(spec.className, spec.deadlineS, this.o.platform.objectives).map((s) => s - agoS),
      taskS,
      work: spec.cpus * (job.pending * taskS + runningS),
      since: job.acceptedAt.getTime(),
    };
  }

  /** Cpus that work of this priority can count on: everything but what higher work and accelerators take. */
  private roomFor(r: Reign, priority: number): number {
    let cpus = 0;
    for (const m of r.machines.values()) {
      if (!m.type || m.state !== "up" || m.cordoned || this.claimOn(m.type, m.spot)) continue;
      cpus += m.type.cpus;
      for (const a of m.attempts) if (a.job.spec.priority > priority) cpus -= a.job.spec.cpus;
    }
    return cpus;
  }

  private jobView(r: Reign, e: QueueEntry, now: number): JobView {
    const zones = new Map<string, number>();
    for (const a of e.job.attempts) zones.set(a.machine.zone, (zones.get(a.machine.zone) ?? 0) + 1);
    const avoid = new Set<string>();
    for (const [name, untilMs] of e.job.avoid) {
      if (untilMs > now) avoid.add(name);
      else e.job.avoid.delete(name);
    }
    const prefer = r.prefer.get(e.job.id);
    return {
      spec: e.job.spec,
      pending: e.job.pending,
      guaranteed: e.guaranteed,
      zones,
      avoid,
      quickS: this.quickS(e.job, now),
      prefer: prefer && prefer.untilMs > now ? prefer.machine : null,
    };
  }

  private quickS(job: Job, now: number): number | null {
    for (const o of this.o.platform.objectives) {
      if (o.kind !== "wait" || o.className !== job.spec.className || o.withinS === null) continue;
      const leftS = o.withinS - (now - job.bornMs) / 1000;
      return leftS > 0 ? leftS : null;
    }
    return null;
  }

  private view(
    r: Reign,
    m: Machine,
    type: MachineType,
    guaranteed: Set<Job>,
    refs: Attempt[],
    now: number,
  ): MachineView {
    const view = emptyView(type, m.zone, m.spot, this.claimOn(type, m.spot));
    view.gpuBusy = [...m.attempts].some((a) => a.job.spec.gpus > 0);
    view.name = m.name;
    view.placeable = m.state === "up" && now - m.lastHeardMs < this.o.operator.suspectS * 1000;
    view.free.cpus -= m.used.cpus;
    view.free.gpus -= m.used.gpus;
    view.free.memoryGb -= m.used.memoryGb;
    for (const image of m.images.keys()) if (m.hasImage(image)) view.images.add(image);
    for (const image of m.fetching.keys()) view.fetching.add(image);
    for (const a of m.attempts) {
      if (m.fetching.has(a.job.spec.image)) view.fetchRank = Math.max(view.fetchRank, a.job.spec.priority);
    }
    view.backlogGb = m.fetchBacklogGb();
    view.withControllers = this.controllerZones.has(m.zone);
    for (const a of m.attempts) {
      const { spec } = a.job;
      if (a.stop) {
        view.leaving.cpus += spec.cpus;
        view.leaving.gpus += spec.gpus;
        view.leaving.memoryGb += spec.memoryGb;
        continue;
      }
      // A gang is no single victim here: stopping one member ends them all.
      if (spec.kind === "gang" && spec.tasks > 1) continue;
      view.victims.push({
        ref: refs.push(a) - 1,
        jobId: a.job.id,
        team: spec.team,
        priority: spec.priority,
        borrowed: !guaranteed.has(a.job),
        cpus: spec.cpus,
        gpus: spec.gpus,
        memoryGb: spec.memoryGb,
        lossS: lossOf(a, now),
      } satisfies VictimView);
    }
    return view;
  }

  /** Remembers what work with accelerators looks like, class by class. */
  private profile(job: Job): void {
    const { spec } = job;
    if (spec.gpus <= 0 || this.gpuClasses.has(spec.className)) return;
    this.gpuClasses.set(spec.className, spec);
  }

  private claimOn(type: MachineType, spot: boolean): Claim | null {
    if (type.gpus <= 0) return null;
    let claim: Claim | null = null;
    for (const spec of this.gpuClasses.values()) {
      if ((spec.types !== null && !spec.types.includes(type.name)) || (spot && !spec.spot)) continue;
      claim ??= { cpus: 0, memoryGb: 0 };
      claim.cpus = Math.max(claim.cpus, spec.cpus / spec.gpus);
      claim.memoryGb = Math.max(claim.memoryGb, spec.memoryGb / spec.gpus);
    }
    return claim;
  }

  private carryOut(r: Reign, plan: PlacementPlan, refs: Attempt[], now: number): void {
    for (const p of plan.placements) {
      const job = r.jobs.get(p.jobId);
      const m = r.machines.get(p.machine);
      if (!job || !m) continue;
      for (let i = 0; i < p.tasks; i++) {
        const task = job.takePending();
        if (task === null) break;
        const chunk = job.chunkOf(task);
        // A gang's tasks find one another by their attempt number: one for all of them.
        const attempt = job.spec.kind === "gang" ? this.gangAttempt(r, job) : r.nextAttempt++;
        this.attach(r, {
          job,
          task,
          attempt,
          machine: m,
          durable: false,
          inherited: false,
          sentToken: -1,
          sentSession: 0,
          sentMs: -Infinity,
          phase: null,
          plannedMs: now,
          runningMs: null,
          stop: null,
        });
        chunk.dirty = true;
        chunk.urgent = true;
      }
      log.debug(() => `${job.id}: ${p.tasks} on ${m.name}`);
    }
    if (plan.placements.length > 0) this.requestWrite(r, 0);
    for (const e of plan.evictions) {
      const a = refs[e.ref];
      if (!a || a.stop || !a.machine.attempts.has(a)) continue;
      log.debug(() => `${a.job.id}/${a.task} makes room on ${a.machine.name} for ${e.jobId}`);
      this.stopOrderly(r, a);
    }
  }

  private gangAttempt(r: Reign, job: Job): number {
    for (const a of job.attempts) return a.attempt;
    return r.nextAttempt++;
  }

  private rent(r: Reign, plan: PlacementPlan, coming: MachineView[]): void {
    if (plan.unplaced.length === 0) return;
    const now = this.o.clock.nowMs();
    // A task that fits nowhere first triggers a squeeze; only what still waits then rents.
    if (now - r.lastRoundMs > 1000) this.round(r, now);
    const wishes = wishToRent({
      unplaced: plan.unplaced,
      types: this.types,
      coming,
      refused: (type, zone, spot) => (r.refusedUntilMs.get(`${type} ${zone} ${spot}`) ?? 0) > now,
      maxMachines: 40,
      claim: (type, spot) => this.claimOn(type, spot),
    });
    for (const w of wishes) {
      // The cloud answers a few calls a second: one question at a time about each kind of machine, few under way,
      // so that what the most important work needs is never behind a queue of stale questions.
      if (r.renting.size >= MAX_ORDERS) break;
      if ([...r.renting.values()].some((o) => o.type === w.type && o.zone === w.zone && o.spot === w.spot))
        continue;
      // Made of the term and a counter, so no other node or life ever uses the name (the cloud would answer
      // it with the machines of the first use).
      const order: RentOrder = {
        ...w,
        count: Math.min(50, w.count),
        request: `t${r.mandate.term}-${++r.nextRequest}`,
      };
      r.renting.set(order.request, order);
      log.info(
        `renting ${order.count} ${order.type} in ${order.zone}${order.spot ? " (spot)" : ""}: ${order.request}`,
      );
      this.o.cloud.tell({ kind: "rent", order });
    }
  }

  // ---------------------------------------------------------------- the magnet

  private round(r: Reign, now: number): void {
    r.lastRoundMs = now;
    if (r.moves || now - r.startedMs < 2 * this.o.platform.reportS * 1000) return;
    const { degrad, violate, moveCap, elapseS } = this.o.operator;
    const refs: Attempt[] = [];
    const machines: MeasuredMachine[] = [];
    for (const m of r.machines.values()) {
      if (m.state !== "up" || !m.type) continue;
      // A late report would move tasks that have already left.
      const fresh = now - m.lastHeardMs < this.o.platform.reportS * 1500;
      const tasks: LoadedTask[] = [];
      let whole = fresh;
      const measuredUse = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const t of m.reported) {
        const spec = r.jobs.get(t.jobId)?.spec;
        if (t.phase === "exited" || !spec) continue;
        measuredUse.cpus += spec.cpus;
        measuredUse.gpus += spec.gpus;
        measuredUse.memoryGb += spec.memoryGb;
      }
      for (const a of m.attempts) {
        const { spec } = a.job;
        if (a.stop || a.phase === null) whole = false;
        const young = a.runningMs === null ? a.phase === "fetching" : now - a.runningMs < elapseS * 1000;
        const movable =
          whole &&
          a.stop === null &&
          spec.kind !== "service" &&
          (spec.kind !== "gang" || spec.tasks === 1) &&
          (spec.checkpointS > 0 ? a.phase === "running" : young);
        tasks.push({
          ref: refs.push(a) - 1,
          jobId: a.job.id,
          cpus: spec.cpus,
          gpus: spec.gpus,
          memoryGb: spec.memoryGb,
          movable,
          mayMoveTo: (name) => this.mayMove(r, a, name),
        });
      }
      machines.push({
        name: m.name,
        total: m.type,
        tasks,
        open: whole && !m.cordoned && m.takenAtMs === null,
        measured: loadOf(measuredUse, m.type),
        requested: loadOf(m.used, m.type),
      });
    }
    const moves = squeeze(machines, { degrad, moveCap });
    if (moves.length < moveCap) {
      moves.push(...release(machines, { degrad, violate, moveCap: moveCap - moves.length }));
    }
    if (moves.length === 0) return;
    r.moves = moves;
    r.movesRefs = new Map(moves.map((mv) => [mv.ref, refs[mv.ref]!]));
    this.requestWrite(r, 0);
  }

  private mayMove(r: Reign, a: Attempt, name: string): boolean {
    const m = r.machines.get(name);
    const { spec } = a.job;
    if (!m?.type || m.cordoned || !allows(spec, m.type.name, m.zone, m.spot)) return false;
    const zones = new Map<string, number>();
    for (const b of a.job.attempts)
      if (b !== a) zones.set(b.machine.zone, (zones.get(b.machine.zone) ?? 0) + 1);
    return zoneRoom(spec, zones, m.zone) > 0;
  }

  /** The round's moves are durable: now they begin, each as a stop here and a start there. */
  private beginMoves(r: Reign): void {
    const moves = r.moves ?? [];
    r.moves = null;
    const now = this.o.clock.nowMs();
    for (const mv of moves) {
      const a = r.movesRefs.get(mv.ref);
      if (!a || a.stop || !a.machine.attempts.has(a)) continue;
      log.info(`moving ${a.job.id}/${a.task} from ${mv.from} to ${mv.to}`);
      r.prefer.set(a.job.id, { machine: mv.to, untilMs: now + 5000 });
      a.job.avoid.set(mv.from, now + this.o.operator.elapseS * 2000);
      this.stopOrderly(r, a);
    }
    r.movesRefs.clear();
  }
}

function newStop(nowMs: number, graceS: number): NonNullable<Attempt["stop"]> {
  return { sinceMs: nowMs, graceS, sent: false, lastSentMs: -Infinity };
}

/** Seconds of work that stopping the attempt throws away. */
function lossOf(a: Attempt, nowMs: number): number {
  const { spec } = a.job;
  if (spec.kind === "service") return 600;
  if (a.runningMs === null) return 1;
  const ranS = (nowMs - a.runningMs) / 1000;
  return spec.checkpointS > 0 ? spec.saveS + 2 : ranS;
}

/** Failures of jobs that run well elsewhere count double. Pure. */
export function looksFaulty(m: Machine, jobs: Map<string, Job>): boolean {
  let score = 0;
  let proven = 0;
  for (const [id, n] of m.failures) {
    const job = jobs.get(id);
    const well =
      job !== undefined &&
      (job.doneCount > 0 || [...job.attempts].some((a) => a.machine !== m && a.phase === "running"));
    score += well ? 2 * n : n;
    if (well) proven++;
  }
  return score >= 3 && (proven > 0 || m.failures.size >= 2);
}

/** A task that ran had its image. */
function machineImage(m: Machine, job: Job, t: ReportedTask): void {
  if (t.cause === "done" || t.cause === "error") m.imageReady(job.spec.image);
}
