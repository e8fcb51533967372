import type { UnchangedHeartbeat, Heartbeat, ReceivedHeartbeat } from "../../protocol/model.js";
import type { Grant, PeerMessage, HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import { encodeRedirect, encodeHeartbeatResponse } from "../../protocol/workers.js";
import type { Clock, Timer } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import { Actor } from "../../transport/actor.js";
import type { LeadershipChange, LeadershipLease } from "../term/leadershipLease.js";
import { CLOCK_DRIFT } from "../term/clockDrift.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import { ConfirmedCancellations } from "./confirmedCancellations.js";
import { WorkerBalancer } from "./workerBalancer.js";

type Message =
  | { kind: "election"; change: LeadershipChange }
  | { kind: "heartbeat"; heartbeat: Heartbeat; reply: (answer: ServerResponse) => void }
  | { kind: "grant"; grant: Grant }
  | { kind: "servers"; servers: Grant["servers"] }
  | { kind: "limits"; limits: HeartbeatServerLimits }
  | { kind: "cancellation confirmed"; id: string; at: Date }
  | { kind: "isolated"; from: string; term: number }
  | { kind: "flush" }
  | { kind: "tick" };

/** What the leader beside us lets us acknowledge; followers hear it in their grants. */
export interface HeartbeatServerLimits {
  term: number;
  untilMs: number;
  /** Our own zone's workers, if we are cut off with them. */
  zoneLeaseUntilMs: number;
  quarantined: string[];
  /** The cancellations told here up to that one are known to it. */
  cancellationSeq: number;
}

export interface HeartbeatServerOptions {
  node: string;
  zone: string;
  /** Each controller's zone, ours included. */
  zones: ReadonlyMap<string, string>;
  /** Different in each process; below 2^48. */
  incarnation: number;
  clock: Clock;
  heartbeatS: number;
  /** Cancellations told longer ago than this concern nobody any more. */
  cancellationRetentionMs: number;
  /** To the leader, whoever that is; true when it went out. */
  sendToLeader: (leader: string, update: HeartbeatServerUpdate) => void;
  sendToNeighbour: (node: string, message: PeerMessage) => void;
  /** To the leader beside us, while it leads. */
  sendToLocalLeader: (update: HeartbeatServerUpdate) => void;
  /** For the first time in this process, reports may be acknowledged. */
  onFirstGrant: () => void;
  /** A worker has seen the token of a later term. */
  onLaterTerm: (term: number) => void;
  lagMs: () => number;
}

/** What a node remembers of a worker that reports to it. */
interface KnownWorker {
  heartbeat: Heartbeat;
  /** Newest of its reports, not of its answers to commands. */
  epoch: number;
  tick: number;
  receivedMs: number;
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
export class HeartbeatServer extends Actor<Message> {
  private leader: string | null = null;
  private term = 0;
  private lease: LeadershipLease | null = null;
  private grantUntilMs = -Infinity;
  /** Until then our own zone's workers may be kept alive, if the whole zone is cut off. */
  private zoneLeaseUntilMs = -Infinity;
  /** The last moment at which we might acknowledge anybody's reports. */
  private rightUntilMs = -Infinity;
  /** When a neighbour last said that it hears from no leader either. */
  private neighbourIsolatedMs = -Infinity;
  /** When we heard of this term first. */
  private termSeenMs = -Infinity;
  private lastGrantIssuedAtMs = 0;
  private lastResyncIssuedAtMs = 0;
  private sequence = 0;
  private readonly workers = new Map<string, KnownWorker>();
  private readonly unchanged = new Map<string, UnchangedHeartbeat>();
  private readonly changed = new Map<string, KnownWorker>();
  private machines = 0;
  private readonly balancer: WorkerBalancer;
  /** The other controllers of our zone. */
  private readonly neighbours: string[];
  /** As leader: what the leader beside us allows in this term. */
  private limitMs = -Infinity;
  private quarantined = new Set<string>();
  private readonly confirmedCancellations: ConfirmedCancellations;
  private hasBeenGranted = false;
  private flushSet = false;
  private timer: Timer | null = null;
  private stopped = false;

  constructor(private readonly options: HeartbeatServerOptions) {
    super("heartbeat server");
    this.confirmedCancellations = new ConfirmedCancellations(options.cancellationRetentionMs);
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
    super.failed(message, error);
    if (message.kind === "heartbeat") message.reply({ status: 503, body: {} });
  }

  protected override handle(message: Message): void {
    switch (message.kind) {
      case "election":
        this.elected(message.change);
        break;
      case "heartbeat":
        this.report(message.heartbeat, message.reply);
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
          this.neighbourIsolatedMs = this.options.clock.nowMs();
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

  private elected(news: LeadershipChange): void {
    const led = this.lease?.term;
    this.lease = news.lease;
    this.leader = news.leader;
    if (news.lease) {
      if (led !== news.lease.term) this.beginTerm(news.lease.term);
      this.rightUntilMs = Math.max(this.rightUntilMs, news.lease.acknowledgeUntilMs);
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
    this.lastGrantIssuedAtMs = 0;
    this.lastResyncIssuedAtMs = 0;
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
    this.zoneLeaseUntilMs = -Infinity;
    this.rightUntilMs = -Infinity;
    this.neighbourIsolatedMs = -Infinity;
    this.limitMs = -Infinity;
  }

  private applyLimits(limits: HeartbeatServerLimits): void {
    if (this.lease?.term !== limits.term) return;
    this.limitMs = limits.untilMs;
    this.zoneLeaseUntilMs = Math.max(this.zoneLeaseUntilMs, limits.zoneLeaseUntilMs);
    this.quarantined = new Set(limits.quarantined);
    this.confirmedCancellations.acknowledgeUpTo(limits.cancellationSeq);
    this.noteFirstGrant();
  }

  private noteFirstGrant(): void {
    if (this.hasBeenGranted || this.options.clock.nowMs() >= this.untilMs()) return;
    this.hasBeenGranted = true;
    this.options.onFirstGrant();
  }

  private resync(): void {
    const now = this.options.clock.nowMs();
    for (const [name, worker] of this.workers) {
      if (now - worker.receivedMs < 4000 * this.options.heartbeatS) this.changed.set(name, worker);
    }
  }

  private untilMs(): number {
    return this.lease ? Math.min(this.lease.acknowledgeUntilMs, this.limitMs) : this.grantUntilMs;
  }

  private applyGrant(grant: Grant): void {
    const now = this.options.clock.nowMs();
    // Only an answer to a question of this very process, in this term, and to a recent one.
    if (
      this.lease ||
      grant.term !== this.term ||
      grant.from !== this.leader ||
      grant.incarnation !== this.options.incarnation
    )
      return;
    if (grant.resync && grant.issuedAtMs > this.lastResyncIssuedAtMs) {
      this.lastResyncIssuedAtMs = grant.issuedAtMs;
      this.resync();
      this.flushSoon();
    }
    if (grant.requestedAtMs > now || now - grant.requestedAtMs > 10_000) return;
    this.grantUntilMs = Math.max(
      this.grantUntilMs,
      grant.requestedAtMs + grant.durationMs * (1 - 2 * CLOCK_DRIFT),
    );
    this.rightUntilMs = Math.max(this.rightUntilMs, this.grantUntilMs);
    if (grant.zoneDurationMs > 0)
      this.zoneLeaseUntilMs = Math.max(
        this.zoneLeaseUntilMs,
        grant.requestedAtMs + grant.zoneDurationMs * (1 - 2 * CLOCK_DRIFT),
      );
    this.lastGrantIssuedAtMs = Math.max(this.lastGrantIssuedAtMs, grant.issuedAtMs);
    this.confirmedCancellations.acknowledgeUpTo(grant.cancellationSeq);
    this.quarantined = new Set(grant.quarantined);
    this.balancer.setServers(grant.servers);
    this.noteFirstGrant();
  }

  private report(report: Heartbeat, reply: (answer: ServerResponse) => void): void {
    const now = this.options.clock.nowMs();
    const ownZone = now >= this.untilMs();
    if (ownZone && !this.mayServeOwnZone(report.zone, now)) {
      const elsewhere = this.lease ? null : this.leader;
      // A grant comes within a moment, or a leader that is gone is replaced. Sent to the leader meanwhile, all workers
      // arrived there at once, when it has most to do, and many of their leases ran out in its line.
      const patient = now - Math.max(this.grantUntilMs, this.termSeenMs) < NAME_LEADER_MS;
      if (elsewhere === null || elsewhere === this.options.node || patient) reply({ status: 503, body: {} });
      else reply({ status: 421, body: encodeRedirect(elsewhere) });
      return;
    }
    if (report.fencingToken >= firstFencingToken(this.term + 1)) {
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
      reply({ status: 421, body: encodeRedirect(other) });
      return;
    }
    reply({
      status: 200,
      body: encodeHeartbeatResponse(Math.max(firstFencingToken(this.term), report.fencingToken), []),
    });
    const same = known !== undefined && isUnchanged(known.heartbeat, report);
    const entry = { heartbeat: report, epoch: report.epoch, tick: report.tick, receivedMs: now };
    this.workers.set(report.machine, entry);
    if (same && !this.changed.has(report.machine)) {
      this.unchanged.set(report.machine, {
        machine: report.machine,
        epoch: report.epoch,
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
    if (zone !== this.options.zone || now >= this.zoneLeaseUntilMs) return false;
    return now - this.rightUntilMs < DECIDE_MS || now - this.neighbourIsolatedMs < NEIGHBOUR_MS;
  }

  /** Another controller that this worker should go to; null: stay. */
  private redirectTarget(report: Heartbeat, isKnown: boolean, now: number): string | null {
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
    const reports: ReceivedHeartbeat[][] = [[]];
    let tasks = 0;
    for (const worker of this.changed.values()) {
      if (tasks + worker.heartbeat.tasks.length > FRAME_TASKS) {
        reports.push([]);
        tasks = 0;
      }
      tasks += worker.heartbeat.tasks.length + 5;
      reports
        .at(-1)!
        .push({ ageMs: Math.max(0, Math.round(now - worker.receivedMs)), heartbeat: worker.heartbeat });
    }
    this.changed.clear();
    const unchanged = [...this.unchanged.values()];
    this.unchanged.clear();
    const cancellations = this.confirmedCancellations.nextUpdate(now);
    reports.forEach((part, i) => {
      const last = i === reports.length - 1;
      const update: HeartbeatServerUpdate = {
        kind: "heartbeat server update",
        from: this.options.node,
        term: this.term,
        incarnation: this.options.incarnation,
        sequence: ++this.sequence,
        // All of it is told only with the last part.
        lastGrantIssuedAtMs: last ? this.lastGrantIssuedAtMs : 0,
        lastResyncIssuedAtMs: last ? this.lastResyncIssuedAtMs : 0,
        requestedAtMs: Math.floor(now),
        machines: this.machines,
        lagMs: Math.round(this.options.lagMs()),
        unchanged: last ? unchanged : [],
        heartbeats: part,
        ...(last ? cancellations : { cancellations: [], cancellationSeq: 0, cancellationsComplete: false }),
      };
      if (this.lease) this.options.sendToLocalLeader(update);
      else if (this.leader !== null) this.options.sendToLeader(this.leader, update);
    });
  }

  private tick(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    const now = this.options.clock.nowMs();
    this.machines = 0;
    for (const [name, worker] of this.workers) {
      if (now - worker.receivedMs > FORGET_MS) this.workers.delete(name);
      else if (now - worker.receivedMs < 2500 * this.options.heartbeatS) this.machines++;
    }
    this.confirmedCancellations.expire(now);
    this.balancer.forgetOld(now);
    if (!this.lease) this.flush();
    if (now >= this.untilMs() && now < this.zoneLeaseUntilMs) {
      for (const node of this.neighbours)
        this.options.sendToNeighbour(node, { kind: "isolated", from: this.options.node, term: this.term });
    }
  }
}

/** Older than a report that the worker has sent since, or the same once more. Pure. */
export function isLateCopy(known: { epoch: number; tick: number }, report: Heartbeat): boolean {
  return report.epoch < known.epoch || (report.epoch === known.epoch && report.tick <= known.tick);
}

/** Does the newer report tell the leader nothing but that the worker lives? Pure. */
export function isUnchanged(known: Heartbeat, newer: Heartbeat): boolean {
  if (
    known.epoch !== newer.epoch ||
    known.fencingToken !== newer.fencingToken ||
    (known.interruptionNoticeS === null) !== (newer.interruptionNoticeS === null)
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
