import type { Heard, Report, SeenReport } from "../protocol/model.js";
import type { Grant, PeerMessage, Serving } from "../protocol/peers.js";
import { encodeElsewhere, encodeResponse } from "../protocol/workers.js";
import type { Clock, Timer } from "../transport/clock.js";
import type { Answer } from "../transport/httpServer.js";
import { Actor } from "../transport/mailbox.js";
import { log } from "../transport/log.js";
import type { ElectionNews, Mandate } from "./election.js";
import { DRIFT, firstToken } from "./fences.js";
import { ToldCancels } from "./toldCancels.js";

type Message =
  | { kind: "election"; news: ElectionNews }
  | { kind: "report"; report: Report; reply: (answer: Answer) => void }
  | { kind: "grant"; grant: Grant }
  | { kind: "homes"; homes: Grant["homes"] }
  | { kind: "ack limits"; limits: AckLimits }
  | { kind: "cancel told"; id: string; at: Date }
  | { kind: "alone"; from: string; term: number }
  | { kind: "flush" }
  | { kind: "tick" };

/** What the leader beside us lets us acknowledge; followers hear it in their grants. */
export interface AckLimits {
  term: number;
  untilMs: number;
  /** Our own zone's workers, if we are cut off with them. */
  homeUntilMs: number;
  barred: string[];
  /** The cancellations told here up to that one are known to it. */
  toldSeq: number;
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
  keepToldMs: number;
  /** To the leader, whoever that is; true when it went out. */
  toLeader: (leader: string, serving: Serving) => void;
  toNeighbour: (node: string, message: PeerMessage) => void;
  /** To the leader beside us, while it leads. */
  toLeaderHere: (serving: Serving) => void;
  /** A worker has seen the token of a later term. */
  onLaterTerm: (term: number) => void;
  lagMs: () => number;
}

/** What a node remembers of a worker that reports to it. */
interface Known {
  report: Report;
  /** Newest of its reports, not of its answers to commands. */
  session: number;
  tick: number;
  heardMs: number;
}

const TICK_MS = 500;
/** Changes wait this long for company: each frame wakes this process and the leader's. */
const GATHER_MS = 40;
/** A worker that has not reported for so long is forgotten here; the leader knows more. */
const FORGET_MS = 60_000;
/** Tasks in the reports of one frame. */
const FRAME_TASKS = 1200;
/** A node this far behind sends workers on to nodes that keep up. */
const SLOW_MS = 400;
/** The leader has other work; of workers it takes this share of what the others take, and less as it begins. */
const LEADER_SHARE = 0.5;
const NEW_LEADER_SHARE = 0.1;
const NEW_LEADER_MS = 8000;
/** A controller with fewer workers than this is sent one at a time: perhaps they don't reach it. */
const FEW_MACHINES = 5;
const TRICKLE_MS = 250;
/** A worker waits so long for an answer at the least before it gives a controller up. */
const ANSWER_MS = 3500;
const SHUN_MS = 20_000;
/** How long a neighbour's word that it hears from no leader counts; and how long such a word may take to come. */
const NEIGHBOUR_MS = 1600;
const DECIDE_MS = 1500;
/** Without a grant for so long, workers are sent to the leader; before that they find the next node by themselves. */
const NAME_LEADER_MS = 2500;
/** Workers that are sent on though they were here already are this far apart. */
const MOVE_EVERY_MS = 30;

/**
 * Answers workers' reports, at every node, under a grant of the leader (or by the leader's own mandate). A 200 renews
 * a worker's lease, so it is given only while the grant lasts, and every one of them is told to the leader, whose
 * proofs count on that (rule `ran_twice`). Commands come from the leader alone, by errands.
 */
export class ReportServer extends Actor<Message> {
  private leader: string | null = null;
  private term = 0;
  private mandate: Mandate | null = null;
  private grantUntilMs = -Infinity;
  /** Until then our own zone's workers may be kept alive, if the whole zone is cut off. */
  private homeUntilMs = -Infinity;
  /** The last moment at which we might acknowledge anybody's reports. */
  private rightUntilMs = -Infinity;
  /** When a neighbour last said that it hears from no leader either. */
  private neighbourAloneMs = -Infinity;
  /** When we heard of this term first. */
  private termSeenMs = -Infinity;
  private echoMs = 0;
  private retoldMs = 0;
  private seq = 0;
  private homes: Grant["homes"] = [];
  private readonly known = new Map<string, Known>();
  private readonly heard = new Map<string, Heard>();
  private readonly changed = new Map<string, Known>();
  private machines = 0;
  private nextMoveMs = -Infinity;
  /** Where we sent workers, and when. */
  private readonly sent = new Map<string, { to: string; atMs: number }>();
  /** Controllers that workers we sent did not reach, and until when we send none there. */
  private readonly shunned = new Map<string, number>();
  /** When we may send the next one to a controller that hardly serves any. */
  private nextTrickleMs = -Infinity;
  /** The other controllers of our zone. */
  private readonly neighbours: string[];
  /** As leader: what the leader beside us allows in this term. */
  private limitMs = -Infinity;
  private barred = new Set<string>();
  private readonly told: ToldCancels;
  private flushSet = false;
  private timer: Timer | null = null;
  private stopped = false;

  constructor(private readonly o: ReportServerOptions) {
    super();
    this.told = new ToldCancels(o.keepToldMs);
    this.neighbours = [...o.zones]
      .filter(([node, zone]) => node !== o.node && zone === o.zone)
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
  get served(): number {
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
        this.granted(message.grant);
        break;
      case "homes":
        // Beside the leader there is no grant to bring them.
        if (this.mandate) this.homes = message.homes;
        break;
      case "ack limits":
        this.limited(message.limits);
        break;
      case "cancel told":
        // At once: the leader may have starts of it on their way, or be unable to read it.
        if (this.told.add(message.id, message.at, this.o.clock.nowMs())) this.flush();
        break;
      case "alone":
        if (message.term === this.term && this.neighbours.includes(message.from))
          this.neighbourAloneMs = this.o.clock.nowMs();
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
    const led = this.mandate?.term;
    this.mandate = news.mandate;
    this.leader = news.leader;
    if (news.mandate) {
      if (led !== news.mandate.term) this.begin(news.mandate.term);
      this.rightUntilMs = Math.max(this.rightUntilMs, news.mandate.ackUntilMs);
    } else if (news.leader !== null && news.term > this.term) {
      this.begin(news.term);
    }
    // Without a leader a grant goes on until its end: it was counted when it was given.
  }

  /** A new term: whatever we know of our workers is news to its leader. */
  private begin(term: number): void {
    this.term = term;
    this.termSeenMs = this.o.clock.nowMs();
    this.giveUpRights();
    this.echoMs = 0;
    this.retoldMs = 0;
    this.seq = 0;
    this.homes = [];
    this.told.begin();
    this.heard.clear();
    this.tellAll();
    this.flush();
  }

  /** Whatever an earlier leader gave us: the next one counts on it that we use none of it from here on. */
  private giveUpRights(): void {
    this.grantUntilMs = -Infinity;
    this.homeUntilMs = -Infinity;
    this.rightUntilMs = -Infinity;
    this.neighbourAloneMs = -Infinity;
    this.limitMs = -Infinity;
  }

  private limited(limits: AckLimits): void {
    if (this.mandate?.term !== limits.term) return;
    this.limitMs = limits.untilMs;
    this.homeUntilMs = Math.max(this.homeUntilMs, limits.homeUntilMs);
    this.barred = new Set(limits.barred);
    this.told.taken(limits.toldSeq);
  }

  private tellAll(): void {
    const now = this.o.clock.nowMs();
    for (const [name, k] of this.known) {
      if (now - k.heardMs < 4000 * this.o.reportS) this.changed.set(name, k);
    }
  }

  private untilMs(): number {
    return this.mandate ? Math.min(this.mandate.ackUntilMs, this.limitMs) : this.grantUntilMs;
  }

  private granted(g: Grant): void {
    const now = this.o.clock.nowMs();
    // Only an answer to a question of this very process, in this term, and to a recent one.
    if (this.mandate || g.term !== this.term || g.from !== this.leader || g.life !== this.o.life) return;
    if (g.resync && g.stampMs > this.retoldMs) {
      this.retoldMs = g.stampMs;
      this.tellAll();
      this.flushSoon();
    }
    if (g.askMs > now || now - g.askMs > 10_000) return;
    this.grantUntilMs = Math.max(this.grantUntilMs, g.askMs + g.forMs * (1 - 2 * DRIFT));
    this.rightUntilMs = Math.max(this.rightUntilMs, this.grantUntilMs);
    if (g.homeMs > 0) this.homeUntilMs = Math.max(this.homeUntilMs, g.askMs + g.homeMs * (1 - 2 * DRIFT));
    this.echoMs = Math.max(this.echoMs, g.stampMs);
    this.told.taken(g.toldSeq);
    this.barred = new Set(g.barred);
    this.homes = g.homes;
  }

  private report(report: Report, reply: (answer: Answer) => void): void {
    const now = this.o.clock.nowMs();
    const home = now >= this.untilMs();
    if (home && !this.mayKeepHome(report.zone, now)) {
      const elsewhere = this.mandate ? null : this.leader;
      // A grant comes within a moment, or a leader that is gone is replaced. Sent to the leader meanwhile, all workers
      // arrived there at once, when it has most to do, and many of their leases ran out in its line.
      const patient = now - Math.max(this.grantUntilMs, this.termSeenMs) < NAME_LEADER_MS;
      if (elsewhere === null || elsewhere === this.o.node || patient) reply({ status: 503, body: {} });
      else reply({ status: 421, body: encodeElsewhere(elsewhere) });
      return;
    }
    if (report.token >= firstToken(this.term + 1)) {
      // A later leader has spoken to it: a 200 from us would be dropped and hold the worker here.
      this.giveUpRights();
      this.o.onLaterTerm(this.term);
      reply({ status: 503, body: {} });
      return;
    }
    const known = this.known.get(report.machine);
    if (known && isLateCopy(known, report)) {
      // Nobody waits for the answer, and it proves nothing: the worker sends one report at a time.
      reply({ status: 503, body: {} });
      return;
    }
    if (this.barred.has(report.machine)) {
      // A cancelled task there has not shown that it is gone: its lease has to end in time (rule `ran_cancelled`).
      reply({ status: 503, body: {} });
      return;
    }
    this.noteReturn(report.machine, now);
    const other = home ? null : this.lighter(report, known !== undefined);
    if (other !== null) {
      this.known.delete(report.machine);
      reply({ status: 421, body: encodeElsewhere(other) });
      return;
    }
    reply({ status: 200, body: encodeResponse(Math.max(firstToken(this.term), report.token), []) });
    const same = known !== undefined && saysTheSame(known.report, report);
    const entry = { report, session: report.session, tick: report.tick, heardMs: now };
    this.known.set(report.machine, entry);
    if (same && !this.changed.has(report.machine)) {
      this.heard.set(report.machine, {
        machine: report.machine,
        session: report.session,
        tick: report.tick,
      });
      if (this.mandate) this.flush();
      return;
    }
    this.heard.delete(report.machine);
    this.changed.set(report.machine, entry);
    if (this.mandate) this.flush();
    else this.flushSoon();
  }

  /**
   * A zone that is cut off goes on working inside, and its tasks live as long as somebody there acknowledges their
   * workers. Alone we can't tell such a cut from one of our own, where the workers would find the others if we sent
   * them on: so only while a neighbour says that it hears from no leader either, or for the moment until it can say so.
   */
  private mayKeepHome(zone: string, now: number): boolean {
    if (zone !== this.o.zone || now >= this.homeUntilMs) return false;
    return now - this.rightUntilMs < DECIDE_MS || now - this.neighbourAloneMs < NEIGHBOUR_MS;
  }

  /** Another controller that this worker should go to; null: stay. */
  private lighter(report: Report, isKnown: boolean): string | null {
    const now = this.o.clock.nowMs();
    // Moving costs a report: whoever is here goes only a few at a time.
    if (isKnown && now < this.nextMoveMs) return null;
    const to = whereTo({
      node: this.o.node,
      leader: this.leader,
      leaderShare: now - this.termSeenMs < NEW_LEADER_MS ? NEW_LEADER_SHARE : LEADER_SHARE,
      lagMs: this.o.lagMs(),
      isKnown,
      homes: this.shunned.size === 0 ? this.homes : this.homes.filter((h) => !this.isShunned(h.node, now)),
      zone: report.zone,
      zoneOf: (node) => this.o.zones.get(node) ?? "",
    });
    if (to === null) return null;
    if ((this.homes.find((h) => h.node === to)?.machines ?? 0) < FEW_MACHINES) {
      if (now < this.nextTrickleMs) return null;
      this.nextTrickleMs = now + TRICKLE_MS;
    }
    this.sent.set(report.machine, { to, atMs: now });
    if (isKnown) this.nextMoveMs = now + MOVE_EVERY_MS;
    for (const h of this.homes) {
      if (h.node === to) h.machines++;
      else if (h.node === this.o.node) h.machines--;
    }
    return to;
  }

  private isShunned(node: string, now: number): boolean {
    const untilMs = this.shunned.get(node);
    if (untilMs === undefined) return false;
    if (now < untilMs) return true;
    this.shunned.delete(node);
    return false;
  }

  /**
   * Granted, and cut off from the workers alone, a controller has ever fewer of them: the lightest, to which everybody
   * would send theirs, to wait there for an answer while their leases run out. Who comes back after such a wait has not
   * reached it.
   */
  private noteReturn(machine: string, now: number): void {
    const sent = this.sent.get(machine);
    if (!sent) return;
    this.sent.delete(machine);
    const awayMs = now - sent.atMs;
    if (awayMs > ANSWER_MS && awayMs < 4 * ANSWER_MS) this.shunned.set(sent.to, now + SHUN_MS);
  }

  private flushSoon(): void {
    if (this.flushSet || this.stopped) return;
    this.flushSet = true;
    this.o.clock.after(GATHER_MS, () => this.tell({ kind: "flush" }));
  }

  private flush(): void {
    if (this.stopped || this.leader === null || this.term === 0) return;
    const now = this.o.clock.nowMs();
    const reports: SeenReport[][] = [[]];
    let tasks = 0;
    for (const k of this.changed.values()) {
      if (tasks + k.report.tasks.length > FRAME_TASKS) {
        reports.push([]);
        tasks = 0;
      }
      tasks += k.report.tasks.length + 5;
      reports.at(-1)!.push({ ageMs: Math.max(0, Math.round(now - k.heardMs)), report: k.report });
    }
    this.changed.clear();
    const heard = [...this.heard.values()];
    this.heard.clear();
    const told = this.told.part(now);
    reports.forEach((part, i) => {
      const last = i === reports.length - 1;
      const serving: Serving = {
        kind: "serving",
        from: this.o.node,
        term: this.term,
        life: this.o.life,
        seq: ++this.seq,
        // All of it is told only with the last part.
        echoMs: last ? this.echoMs : 0,
        retoldMs: last ? this.retoldMs : 0,
        askMs: Math.floor(now),
        machines: this.machines,
        lagMs: Math.round(this.o.lagMs()),
        heard: last ? heard : [],
        reports: part,
        ...(last ? told : { told: [], toldSeq: 0, toldAll: false }),
      };
      if (this.mandate) this.o.toLeaderHere(serving);
      else if (this.leader !== null) this.o.toLeader(this.leader, serving);
    });
  }

  private tick(): void {
    if (this.stopped) return;
    this.timer = this.o.clock.after(TICK_MS, () => this.tell({ kind: "tick" }));
    const now = this.o.clock.nowMs();
    this.machines = 0;
    for (const [name, k] of this.known) {
      if (now - k.heardMs > FORGET_MS) this.known.delete(name);
      else if (now - k.heardMs < 2500 * this.o.reportS) this.machines++;
    }
    this.told.forget(now);
    for (const [machine, s] of this.sent) if (now - s.atMs > 5 * ANSWER_MS) this.sent.delete(machine);
    if (!this.mandate) this.flush();
    if (now >= this.untilMs() && now < this.homeUntilMs) {
      for (const node of this.neighbours)
        this.o.toNeighbour(node, { kind: "alone", from: this.o.node, term: this.term });
    }
  }
}

/**
 * Where a worker that reports here should go instead; null: it stays. New ones go where there is room as soon as we have
 * a little more than our share; those that are here already when we have far more (the others may have been away), or
 * when we fall behind and another does not. Pure.
 */
export function whereTo(facts: {
  node: string;
  leader: string | null;
  /** Of a controller's share of the workers, the leader's. */
  leaderShare: number;
  lagMs: number;
  isKnown: boolean;
  homes: Grant["homes"];
  /** The worker's. */
  zone: string;
  zoneOf: (node: string) => string;
}): string | null {
  // In their own zone, where there are controllers, so that a cut between zones takes nobody's controller away.
  const near = facts.homes.filter((h) => facts.zoneOf(h.node) === facts.zone);
  const homes = near.length > 0 ? near : facts.homes;
  const share = (node: string): number => (node === facts.leader ? facts.leaderShare : 1);
  let total = 0;
  let weight = 0;
  let mine: Grant["homes"][number] | null = null;
  let best: Grant["homes"][number] | null = null;
  for (const h of homes) {
    total += h.machines;
    weight += share(h.node);
    if (h.node === facts.node) mine = h;
    else if (h.lagMs <= SLOW_MS && (!best || h.machines / share(h.node) < best.machines / share(best.node)))
      best = h;
  }
  if (best && near.length > 0 && facts.zoneOf(facts.node) !== facts.zone) return best.node;
  if (!best || !mine) return null;
  const fair = total / weight;
  if (facts.lagMs > SLOW_MS) return facts.lagMs >= best.lagMs * 3 ? best.node : null;
  const heavy =
    mine.machines > fair * share(mine.node) * (facts.isKnown ? 1.5 : 1.1) + (facts.isKnown ? 10 : 3);
  return heavy && best.machines < fair * share(best.node) * 0.97 ? best.node : null;
}

/** Older than a report that the worker has sent since, or the same once more. Pure. */
export function isLateCopy(known: { session: number; tick: number }, report: Report): boolean {
  return report.session < known.session || (report.session === known.session && report.tick <= known.tick);
}

/** Does the newer report tell the leader nothing but that the worker lives? Pure. */
export function saysTheSame(a: Report, b: Report): boolean {
  if (a.session !== b.session || a.token !== b.token || (a.noticeS === null) !== (b.noticeS === null))
    return false;
  if (a.address !== b.address || a.tasks.length !== b.tasks.length) return false;
  return a.tasks.every((t, i) => {
    const u = b.tasks[i]!;
    return t.phase === u.phase && t.task === u.task && t.jobId === u.jobId && t.attempt === u.attempt;
  });
}
