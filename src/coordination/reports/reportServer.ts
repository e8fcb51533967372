import type { UnchangedReport, Report, ReceivedReport } from "../../protocol/model.js";
import type { Grant, PeerMessage, ReportServerUpdate } from "../../protocol/peers.js";
import { encodeElsewhere, encodeResponse } from "../../protocol/workers.js";
import type { Clock, Timer } from "../../transport/clock.js";
import type { Answer } from "../../transport/httpServer.js";
import { Actor } from "../../transport/mailbox.js";
import { log } from "../../transport/log.js";
import type { ElectionNews, LeadershipLease } from "../leadership/election.js";
import { DRIFT, firstToken } from "../leadership/leaseExpiry.js";
import { ConfirmedCancellations } from "./confirmedCancellations.js";
import { WorkerBalancer } from "./workerBalancer.js";

type Message =
  | { kind: "election"; news: ElectionNews }
  | { kind: "report"; report: Report; reply: (answer: Answer) => void }
  | { kind: "grant"; grant: Grant }
  | { kind: "servers"; servers: Grant["servers"] }
  | { kind: "limits"; limits: ReportServerLimits }
  | { kind: "cancellation confirmed"; id: string; at: Date }
  | { kind: "isolated"; from: string; term: number }
  | { kind: "flush" }
  | { kind: "tick" };

/** What the leader beside us lets us acknowledge; followers hear it in their grants. */
export interface ReportServerLimits {
  term: number;
  untilMs: number;
  /** Our own zone's workers, if we are cut off with them. */
  zoneUntilMs: number;
  quarantined: string[];
  /** The cancellations told here up to that one are known to it. */
  cancellationSeq: number;
}

export interface ReportServerOptions {
  node: string;
  zone: string;
  /** Each controller's zone, ours included. */
  zones: ReadonlyMap<string, string>;
  /** Different in each process; below 2^48. */
  life: number;
  clock: Clock;
  reportS: number;
  /** Cancellations told longer ago than this concern nobody any more. */
  keepCancellationsMs: number;
  /** To the leader, whoever that is; true when it went out. */
  toLeader: (leader: string, serving: ReportServerUpdate) => void;
  toNeighbour: (node: string, message: PeerMessage) => void;
  /** To the leader beside us, while it leads. */
  toLeaderHere: (serving: ReportServerUpdate) => void;
  /** For the first time in this process, reports may be acknowledged. */
  onFirstRight: () => void;
  /** A worker has seen the token of a later term. */
  onLaterTerm: (term: number) => void;
  lagMs: () => number;
}

/** What a node remembers of a worker that reports to it. */
interface KnownWorker {
  report: Report;
  /** Newest of its reports, not of its answers to commands. */
  session: number;
  tick: number;
  heardMs: number;
}

const TICK_MS = 500;
/** Changes wait this long for company: each frame wakes this process and the leader's. */
const BATCH_CHANGES_MS = 40;
/** A new leader has most to do in this time. */
const NEW_LEADER_MS = 8000;
/** A worker that has not reported for so long is forgotten here; the leader knows more. */
const FORGET_MS = 60_000;
/** Tasks in the reports of one frame. */
const FRAME_TASKS = 1200;
/** How long a neighbour's word that it hears from no leader counts; and how long such a word may take to come. */
const NEIGHBOUR_MS = 1600;
const DECIDE_MS = 1500;
/** Without a grant for so long, workers are sent to the leader; before that they find the next node by themselves. */
const NAME_LEADER_MS = 2500;
/**
 * Answers workers' reports, at every node, under a grant of the leader (or by the leader's own lease). A 200 renews
 * a worker's lease, so it is given only while the grant lasts, and every one of them is told to the leader, whose
 * proofs count on that (rule `ran_twice`). Commands come from the leader alone, by deliveries.
 */
export class ReportServer extends Actor<Message> {
  private leader: string | null = null;
  private term = 0;
  private lease: LeadershipLease | null = null;
  private grantUntilMs = -Infinity;
  /** Until then our own zone's workers may be kept alive, if the whole zone is cut off. */
  private zoneUntilMs = -Infinity;
  /** The last moment at which we might acknowledge anybody's reports. */
  private rightUntilMs = -Infinity;
  /** When a neighbour last said that it hears from no leader either. */
  private neighbourAloneMs = -Infinity;
  /** When we heard of this term first. */
  private termSeenMs = -Infinity;
  private echoedStampMs = 0;
  private resyncedStampMs = 0;
  private sequence = 0;
  private readonly workers = new Map<string, KnownWorker>();
  private readonly unchanged = new Map<string, UnchangedReport>();
  private readonly changed = new Map<string, KnownWorker>();
  private machines = 0;
  private readonly balancer: WorkerBalancer;
  /** The other controllers of our zone. */
  private readonly neighbours: string[];
  /** As leader: what the leader beside us allows in this term. */
  private limitMs = -Infinity;
  private quarantined = new Set<string>();
  private readonly confirmedCancellations: ConfirmedCancellations;
  private hadRight = false;
  private flushSet = false;
  private timer: Timer | null = null;
  private stopped = false;

  constructor(private readonly options: ReportServerOptions) {
    super();
    this.confirmedCancellations = new ConfirmedCancellations(options.keepCancellationsMs);
    this.balancer = new WorkerBalancer(options.node, options.zones);
    this.neighbours = [...options.zones]
      .filter(([node, zone]) => node !== options.node && zone === options.zone)
      .map(([n]) => n);
  }

  start(): void {
    this.tell({ kind: "tick" });
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Workers that report here. */
  get workerCount(): number {
    return this.machines;
  }

  protected override failed(message: Message, error: unknown): void {
    log.error(`report server: ${message.kind}: ${String((error as Error)?.stack ?? error)}`);
    if (message.kind === "report") message.reply({ status: 503, body: {} });
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "election":
        this.elected(message.news);
        break;
      case "report":
        this.report(message.report, message.reply);
        break;
      case "grant":
        this.applyGrant(message.grant);
        break;
      case "servers":
        // Beside the leader there is no grant to bring them.
        if (this.lease) this.balancer.setServers(message.servers);
        break;
      case "limits":
        this.applyLimits(message.limits);
        break;
      case "cancellation confirmed":
        // At once: the leader may have starts of it on their way, or be unable to read it.
        if (this.confirmedCancellations.add(message.id, message.at, this.options.clock.nowMs())) this.flush();
        break;
      case "isolated":
        if (message.term === this.term && this.neighbours.includes(message.from))
          this.neighbourAloneMs = this.options.clock.nowMs();
        break;
      case "flush":
        this.flushSet = false;
        this.flush();
        break;
      case "tick":
        this.tick();
        break;
    }
  }

  private elected(news: ElectionNews): void {
    const led = this.lease?.term;
    this.lease = news.lease;
    this.leader = news.leader;
    if (news.lease) {
      if (led !== news.lease.term) this.beginTerm(news.lease.term);
      this.rightUntilMs = Math.max(this.rightUntilMs, news.lease.ackUntilMs);
    } else if (news.leader !== null && news.term > this.term) {
      this.beginTerm(news.term);
    }
    // Without a leader a grant goes on until its end: it was counted when it was given.
  }

  /** A new term: whatever we know of our workers is news to its leader. */
  private beginTerm(term: number): void {
    this.term = term;
    this.termSeenMs = this.options.clock.nowMs();
    this.dropGrants();
    this.echoedStampMs = 0;
    this.resyncedStampMs = 0;
    this.sequence = 0;
    this.balancer.setServers([]);
    this.confirmedCancellations.beginTerm();
    this.unchanged.clear();
    this.resync();
    this.flush();
  }

  /** Whatever an earlier leader gave us: the next one counts on it that we use none of it from here on. */
  private dropGrants(): void {
    this.grantUntilMs = -Infinity;
    this.zoneUntilMs = -Infinity;
    this.rightUntilMs = -Infinity;
    this.neighbourAloneMs = -Infinity;
    this.limitMs = -Infinity;
  }

  private applyLimits(limits: ReportServerLimits): void {
    if (this.lease?.term !== limits.term) return;
    this.limitMs = limits.untilMs;
    this.zoneUntilMs = Math.max(this.zoneUntilMs, limits.zoneUntilMs);
    this.quarantined = new Set(limits.quarantined);
    this.confirmedCancellations.acknowledgedUpTo(limits.cancellationSeq);
    this.noteRight();
  }

  private noteRight(): void {
    if (this.hadRight || this.options.clock.nowMs() >= this.untilMs()) return;
    this.hadRight = true;
    this.options.onFirstRight();
  }

  private resync(): void {
    const now = this.options.clock.nowMs();
    for (const [name, worker] of this.workers) {
      if (now - worker.heardMs < 4000 * this.options.reportS) this.changed.set(name, worker);
    }
  }

  private untilMs(): number {
    return this.lease ? Math.min(this.lease.ackUntilMs, this.limitMs) : this.grantUntilMs;
  }

  private applyGrant(grant: Grant): void {
    const now = this.options.clock.nowMs();
    // Only an answer to a question of this very process, in this term, and to a recent one.
    if (
      this.lease ||
      grant.term !== this.term ||
      grant.from !== this.leader ||
      grant.life !== this.options.life
    )
      return;
    if (grant.resync && grant.stampMs > this.resyncedStampMs) {
      this.resyncedStampMs = grant.stampMs;
      this.resync();
      this.flushSoon();
    }
    if (grant.askMs > now || now - grant.askMs > 10_000) return;
    this.grantUntilMs = Math.max(this.grantUntilMs, grant.askMs + grant.forMs * (1 - 2 * DRIFT));
    this.rightUntilMs = Math.max(this.rightUntilMs, this.grantUntilMs);
    if (grant.zoneForMs > 0)
      this.zoneUntilMs = Math.max(this.zoneUntilMs, grant.askMs + grant.zoneForMs * (1 - 2 * DRIFT));
    this.echoedStampMs = Math.max(this.echoedStampMs, grant.stampMs);
    this.confirmedCancellations.acknowledgedUpTo(grant.cancellationSeq);
    this.quarantined = new Set(grant.quarantined);
    this.balancer.setServers(grant.servers);
    this.noteRight();
  }

  private report(report: Report, reply: (answer: Answer) => void): void {
    const now = this.options.clock.nowMs();
    const ownZone = now >= this.untilMs();
    if (ownZone && !this.mayServeOwnZone(report.zone, now)) {
      const elsewhere = this.lease ? null : this.leader;
      // A grant comes within a moment, or a leader that is gone is replaced. Sent to the leader meanwhile, all workers
      // arrived there at once, when it has most to do, and many of their leases ran out in its line.
      const patient = now - Math.max(this.grantUntilMs, this.termSeenMs) < NAME_LEADER_MS;
      if (elsewhere === null || elsewhere === this.options.node || patient) reply({ status: 503, body: {} });
      else reply({ status: 421, body: encodeElsewhere(elsewhere) });
      return;
    }
    if (report.token >= firstToken(this.term + 1)) {
      // A later leader has spoken to it: a 200 from us would be dropped and hold the worker here.
      this.dropGrants();
      this.options.onLaterTerm(this.term);
      reply({ status: 503, body: {} });
      return;
    }
    const known = this.workers.get(report.machine);
    if (known && isLateCopy(known, report)) {
      // Nobody waits for the answer, and it proves nothing: the worker sends one report at a time.
      reply({ status: 503, body: {} });
      return;
    }
    if (this.quarantined.has(report.machine)) {
      // A cancelled task there has not shown that it is gone: its lease has to end in time (rule `ran_cancelled`).
      reply({ status: 503, body: {} });
      return;
    }
    this.balancer.noteReturn(report.machine, now);
    const other = ownZone ? null : this.redirectTarget(report, known !== undefined, now);
    if (other !== null) {
      this.workers.delete(report.machine);
      reply({ status: 421, body: encodeElsewhere(other) });
      return;
    }
    reply({ status: 200, body: encodeResponse(Math.max(firstToken(this.term), report.token), []) });
    const same = known !== undefined && isUnchanged(known.report, report);
    const entry = { report, session: report.session, tick: report.tick, heardMs: now };
    this.workers.set(report.machine, entry);
    if (same && !this.changed.has(report.machine)) {
      this.unchanged.set(report.machine, {
        machine: report.machine,
        session: report.session,
        tick: report.tick,
      });
      if (this.lease) this.flush();
      return;
    }
    this.unchanged.delete(report.machine);
    this.changed.set(report.machine, entry);
    if (this.lease) this.flush();
    else this.flushSoon();
  }

  /**
   * A zone that is cut off goes on working inside, and its tasks live as long as somebody there acknowledges their
   * workers. Alone we can't tell such a cut from one of our own, where the workers would find the others if we sent
   * them on: so only while a neighbour says that it hears from no leader either, or for the moment until it can say so.
   */
  private mayServeOwnZone(zone: string, now: number): boolean {
    if (zone !== this.options.zone || now >= this.zoneUntilMs) return false;
    return now - this.rightUntilMs < DECIDE_MS || now - this.neighbourAloneMs < NEIGHBOUR_MS;
  }

  /** Another controller that this worker should go to; null: stay. */
  private redirectTarget(report: Report, isKnown: boolean, now: number): string | null {
    return this.balancer.redirectTarget(report, {
      isKnown,
      leader: this.leader,
      leaderIsNew: now - this.termSeenMs < NEW_LEADER_MS,
      lagMs: this.options.lagMs(),
      nowMs: now,
    });
  }

  private flushSoon(): void {
    if (this.flushSet || this.stopped) return;
    this.flushSet = true;
    this.options.clock.after(BATCH_CHANGES_MS, () => this.tell({ kind: "flush" }));
  }

  private flush(): void {
    if (this.stopped || this.leader === null || this.term === 0) return;
    const now = this.options.clock.nowMs();
    const reports: ReceivedReport[][] = [[]];
    let tasks = 0;
    for (const worker of this.changed.values()) {
      if (tasks + worker.report.tasks.length > FRAME_TASKS) {
        reports.push([]);
        tasks = 0;
      }
      tasks += worker.report.tasks.length + 5;
      reports.at(-1)!.push({ ageMs: Math.max(0, Math.round(now - worker.heardMs)), report: worker.report });
    }
    this.changed.clear();
    const unchanged = [...this.unchanged.values()];
    this.unchanged.clear();
    const cancellations = this.confirmedCancellations.nextUpdate(now);
    reports.forEach((part, i) => {
      const last = i === reports.length - 1;
      const serving: ReportServerUpdate = {
        kind: "report server update",
        from: this.options.node,
        term: this.term,
        life: this.options.life,
        sequence: ++this.sequence,
        // All of it is told only with the last part.
        echoedStampMs: last ? this.echoedStampMs : 0,
        resyncedStampMs: last ? this.resyncedStampMs : 0,
        askMs: Math.floor(now),
        machines: this.machines,
        lagMs: Math.round(this.options.lagMs()),
        unchanged: last ? unchanged : [],
        reports: part,
        ...(last ? cancellations : { cancellations: [], cancellationSeq: 0, cancellationsComplete: false }),
      };
      if (this.lease) this.options.toLeaderHere(serving);
      else if (this.leader !== null) this.options.toLeader(this.leader, serving);
    });
  }

  private tick(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    const now = this.options.clock.nowMs();
    this.machines = 0;
    for (const [name, worker] of this.workers) {
      if (now - worker.heardMs > FORGET_MS) this.workers.delete(name);
      else if (now - worker.heardMs < 2500 * this.options.reportS) this.machines++;
    }
    this.confirmedCancellations.expire(now);
    this.balancer.forgetOld(now);
    if (!this.lease) this.flush();
    if (now >= this.untilMs() && now < this.zoneUntilMs) {
      for (const node of this.neighbours)
        this.options.toNeighbour(node, { kind: "isolated", from: this.options.node, term: this.term });
    }
  }
}

/** Older than a report that the worker has sent since, or the same once more. Pure. */
export function isLateCopy(known: { session: number; tick: number }, report: Report): boolean {
  return report.session < known.session || (report.session === known.session && report.tick <= known.tick);
}

/** Does the newer report tell the leader nothing but that the worker lives? Pure. */
export function isUnchanged(known: Report, newer: Report): boolean {
  if (
    known.session !== newer.session ||
    known.token !== newer.token ||
    (known.noticeS === null) !== (newer.noticeS === null)
  )
    return false;
  if (known.address !== newer.address || known.tasks.length !== newer.tasks.length) return false;
  return known.tasks.every((task, i) => {
    const other = newer.tasks[i]!;
    return (
      task.phase === other.phase &&
      task.task === other.task &&
      task.jobId === other.jobId &&
      task.attempt === other.attempt
    );
  });
}
