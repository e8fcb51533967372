import type { Job } from "../bookkeeping/jobs.js";
import { Machine } from "../bookkeeping/machines.js";
import { Usage } from "../bookkeeping/usage.js";
import type { Serving } from "../protocol/peers.js";
import { log } from "../transport/log.js";
import { Archive, LAZY_WRITE_MS } from "./archive.js";
import { Attempts } from "./attempts.js";
import type { LeaderOptions } from "./leader.js";
import type { Mandate } from "./election.js";
import { AckBound } from "./ackBound.js";
import { firstAttempt, firstToken, homeGrantMs, MIN_HOME_MS } from "./fences.js";
import { FleetUse } from "./fleetUse.js";
import type { Estimates } from "./estimates.js";
import { Rounds } from "./magnet/rounds.js";
import { Placer } from "./placer.js";
import { Renter } from "./renter.js";
import { Servers } from "./servers.js";
import { Supervisor } from "./supervisor.js";

/** A leader that is this far behind, for so long, hands over to one that is not. */
const BEHIND_MS = 700;
const BEHIND_FOR_MS = 6000;

/** What the fleet does is told in the log this often. */
const TELL_USE_MS = 60_000;

/** Everything that one term's leader knows, by the part that owns it. Thrown away whole with the term. */
export class LeaderTerm {
  loaded = false;
  over = false;
  /** Counts jobs that come, go or are cancelled. */
  jobsVersion = 0;
  readonly jobs = new Map<string, Job>();
  readonly machines = new Map<string, Machine>();
  readonly removed = new Set<string>();
  readonly usage: Usage;
  readonly servers: Servers;
  nextAttempt: number;
  readonly ackBound: AckBound;
  /** Cancellations that were told at this node are known up to that one. */
  private toldHereSeq = 0;
  private lastListMs = -Infinity;
  private lastTypesMs: number;
  private lastTallyMs = -Infinity;
  private lastFullTallyMs = -Infinity;
  private readonly tallied = new Map<Job, { done: number; running: number }>();
  private behindSinceMs = Infinity;
  private readonly use = new FleetUse();
  private toldUseMs: number;
  readonly startedMs: number;
  readonly attempts: Attempts;
  readonly archive: Archive;
  readonly supervisor: Supervisor;
  readonly fleet: Renter;
  readonly placer: Placer;
  readonly rounds: Rounds;

  constructor(
    public mandate: Mandate,
    readonly o: LeaderOptions,
    private readonly estimates: Estimates,
  ) {
    this.startedMs = o.clock.nowMs();
    this.toldUseMs = this.startedMs;
    this.usage = new Usage(o.platform.teams);
    this.nextAttempt = firstAttempt(mandate.term);
    this.lastTypesMs = estimates.typesKnown ? this.startedMs : -Infinity;
    const { platform } = o;
    this.ackBound = new AckBound(platform);
    const homeMs = homeGrantMs(platform.cancelS, platform.leaseS);
    this.servers = new Servers(new Map(platform.peers.map((p) => [p.name, p.zone])), homeMs);
    this.attempts = new Attempts(this);
    this.archive = new Archive(this, o, estimates);
    this.supervisor = new Supervisor(this, o, estimates);
    this.fleet = new Renter(this, o, estimates);
    this.placer = new Placer(this, o, estimates);
    this.rounds = new Rounds(this, o);
  }

  full(): boolean {
    return this.o.clock.nowMs() < this.mandate.fullUntilMs;
  }

  /** Until then reports may be acknowledged, as far as we lead and know of cancellations. */
  ackUntilMs(): number {
    return Math.min(this.mandate.ackUntilMs, this.ackBound.untilMs);
  }

  /** How long a controller may keep that zone's workers alive if it is cut off with them from now on; 0: not at all. */
  homeFor(zone: string, now: number): number {
    if (!this.loaded || !this.full()) return 0;
    const ms = Math.floor(this.ackBound.zoneUntilMs(zone) - now);
    return ms < MIN_HOME_MS ? 0 : ms;
  }

  /** What other controllers have told users is cancelled, perhaps before we can read it. */
  learnCancels(s: Serving, now: number): void {
    if (s.from === this.o.platform.node) this.toldHereSeq = Math.max(this.toldHereSeq, s.toldSeq);
    else this.servers.toldOf(s, now);
    for (const { id, at } of s.told) {
      const job = this.jobs.get(id);
      if (job && !job.cancelled) this.attempts.cancelJob(job, at);
    }
  }

  /** Works out anew what may be acknowledged, and tells the report server beside us. */
  limitAcks(now: number): void {
    if (!this.loaded) return;
    const knownMs = this.servers.cancelsKnownToMs(this.archive.knownToMs);
    this.ackBound.update(knownMs, this.jobs.values(), now, this.o.clock.today());
    const homeMs = this.homeFor(this.o.platform.zone, now);
    this.o.onAckLimits({
      term: this.mandate.term,
      untilMs: this.ackBound.untilMs,
      homeUntilMs: homeMs > 0 ? now + homeMs : -Infinity,
      barred: this.ackBound.barred,
      toldSeq: this.toldHereSeq,
    });
  }

  machine(name: string, zone: string): Machine {
    let m = this.machines.get(name);
    if (!m) {
      m = new Machine(name, null, zone, false, firstToken(this.mandate.term), this.o.clock.nowMs());
      this.machines.set(name, m);
    }
    return m;
  }

  typesChanged(changedByCloud: boolean, fromCloud: boolean): void {
    for (const m of this.machines.values())
      if (m.type) m.type = this.estimates.typeNamed(m.type.name) ?? m.type;
    if (changedByCloud || (fromCloud && this.archive.typesVersion === 0)) {
      this.archive.typesDirty = true;
      this.archive.requestWrite(0);
    }
  }

  tick(now: number): void {
    const { platform, operator, cloud } = this.o;
    if (now - this.lastTypesMs > (this.estimates.typesKnown ? 60_000 : 2000)) {
      this.lastTypesMs = now;
      cloud.tell({ kind: "types" });
    }
    if (!this.loaded) return;
    if (now - this.lastListMs > Math.max(4000, platform.listLagS * 1000)) {
      this.lastListMs = now;
      cloud.tell({ kind: "list" });
    }
    if (now - this.lastTallyMs > 1000) {
      this.lastTallyMs = now;
      const self = { node: platform.node, machines: this.o.served(), lagMs: Math.round(this.o.lagMs()) };
      this.o.onHomes(this.servers.homes(self, now));
      this.tally(now);
      this.tellUse(now);
    }
    this.limitAcks(now);
    if (!this.full()) return;
    this.archive.resume();
    this.handOver(now);
    this.supervisor.superviseAll(now);
    if (now - this.rounds.lastRoundMs > operator.elapseS * 1000) this.rounds.round(now);
    this.placer.requestPass();
    if (this.archive.garbage.size > 0) this.archive.requestWrite(LAZY_WRITE_MS);
  }

  private tellUse(now: number): void {
    this.use.sample(this.machines.values());
    if (now - this.toldUseMs < TELL_USE_MS) return;
    this.toldUseMs = now;
    const told = this.use.told();
    if (told !== null) log.info(`fleet in the last minute: ${told}`);
  }

  /** A leader that can't keep up makes everybody wait; one that can takes over within a second. */
  private handOver(now: number): void {
    const lagMs = this.o.lagMs();
    if (lagMs < BEHIND_MS) this.behindSinceMs = Infinity;
    else if (this.behindSinceMs === Infinity) this.behindSinceMs = now;
    if (now - this.behindSinceMs < BEHIND_FOR_MS || now - this.startedMs < 20_000) return;
    if (this.servers.someoneFaster(lagMs, now)) this.o.onBehind(this.mandate.term);
  }

  /** What has changed since it was told last; now and then everything, for whoever has come in between. */
  private tally(now: number): void {
    if (now - this.lastFullTallyMs > 10_000) {
      this.lastFullTallyMs = now;
      this.tallied.clear();
    }
    const jobs = [];
    for (const job of this.jobs.values()) {
      const running = job.runningCount();
      const told = this.tallied.get(job);
      if (told && told.done === job.doneCount && told.running === running) continue;
      this.tallied.set(job, { done: job.doneCount, running });
      jobs.push({ id: job.id, done: job.doneCount, running });
    }
    for (let i = 0; i < jobs.length; i += 2000) this.o.onTally(this.mandate.term, jobs.slice(i, i + 2000));
  }
}
