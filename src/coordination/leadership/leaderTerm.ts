import type { Job } from "../../bookkeeping/jobs.js";
import { Machine } from "../../bookkeeping/machines.js";
import { Usage } from "../../bookkeeping/usage.js";
import type { ReportServerUpdate } from "../../protocol/peers.js";
import { log } from "../../transport/log.js";
import { RecordStore, DEFERRED_WRITE_MS } from "./recordStore.js";
import { Attempts } from "./attempts.js";
import type { LeaderOptions } from "./leader.js";
import type { LeadershipLease } from "./election.js";
import { AcknowledgementLimits } from "../reports/acknowledgementLimits.js";
import { firstAttempt, firstToken, longestZoneLeaseMs, MIN_ZONE_LEASE_MS } from "./leaseExpiry.js";
import { FleetUsage } from "../provisioning/fleetUsage.js";
import type { Estimates } from "../scheduling/estimates.js";
import { Rounds } from "../magnet/rounds.js";
import { Scheduler } from "../scheduling/scheduler.js";
import { Provisioner } from "../provisioning/provisioner.js";
import { ReportServerRegistry } from "../reports/reportServerRegistry.js";
import { Supervisor } from "../reports/supervisor.js";

/** A leader that is this far behind, for so long, hands over to one that is not. */
const BEHIND_MS = 700;
const BEHIND_FOR_MS = 6000;

/** What the fleet does is told in the log this often. */
const LOG_USAGE_MS = 60_000;

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
  readonly reportServers: ReportServerRegistry;
  nextAttempt: number;
  readonly acknowledgementLimits: AcknowledgementLimits;
  /** Cancellations that were told at this node are known up to that one. */
  private localCancellationSeq = 0;
  private lastListMs = -Infinity;
  private lastTypesMs: number;
  private lastCountsMs = -Infinity;
  private lastFullCountsMs = -Infinity;
  private readonly publishedCounts = new Map<Job, { done: number; running: number }>();
  private behindSinceMs = Infinity;
  private readonly usageLog = new FleetUsage();
  private loggedUsageMs: number;
  readonly startedMs: number;
  readonly attempts: Attempts;
  readonly recordStore: RecordStore;
  readonly supervisor: Supervisor;
  readonly provisioner: Provisioner;
  readonly scheduler: Scheduler;
  readonly rounds: Rounds;

  constructor(
    public lease: LeadershipLease,
    readonly options: LeaderOptions,
    private readonly estimates: Estimates,
  ) {
    this.startedMs = options.clock.nowMs();
    this.loggedUsageMs = this.startedMs;
    this.usage = new Usage(options.platform.teams);
    this.nextAttempt = firstAttempt(lease.term);
    this.lastTypesMs = estimates.typesKnown ? this.startedMs : -Infinity;
    const { platform } = options;
    this.acknowledgementLimits = new AcknowledgementLimits(platform);
    const homeMs = longestZoneLeaseMs(platform.cancelS, platform.leaseS);
    this.reportServers = new ReportServerRegistry(
      new Map(platform.peers.map((p) => [p.name, p.zone])),
      homeMs,
    );
    this.attempts = new Attempts(this);
    this.recordStore = new RecordStore(this, options, estimates);
    this.supervisor = new Supervisor(this, options, estimates);
    this.provisioner = new Provisioner(this, options, estimates);
    this.scheduler = new Scheduler(this, options, estimates);
    this.rounds = new Rounds(this, options);
  }

  mayWrite(): boolean {
    return this.options.clock.nowMs() < this.lease.fullUntilMs;
  }

  /** Until then reports may be acknowledged, as far as we lead and know of cancellations. */
  ackUntilMs(): number {
    return Math.min(this.lease.ackUntilMs, this.acknowledgementLimits.untilMs);
  }

  /** How long a controller may keep that zone's workers alive if it is cut off with them from now on; 0: not at all. */
  zoneLeaseMs(zone: string, now: number): number {
    if (!this.loaded || !this.mayWrite()) return 0;
    const ms = Math.floor(this.acknowledgementLimits.zoneUntilMs(zone) - now);
    return ms < MIN_ZONE_LEASE_MS ? 0 : ms;
  }

  /** What other controllers have told users is cancelled, perhaps before we can read it. */
  learnCancellations(update: ReportServerUpdate, now: number): void {
    if (update.from === this.options.platform.node)
      this.localCancellationSeq = Math.max(this.localCancellationSeq, update.cancellationSeq);
    else this.reportServers.learnCancellations(update, now);
    for (const { id, at } of update.cancellations) {
      const job = this.jobs.get(id);
      if (job && !job.cancelled) this.attempts.cancelJob(job, at);
    }
  }

  /** Works out anew what may be acknowledged, and tells the report server beside us. */
  updateLimits(now: number): void {
    if (!this.loaded) return;
    const knownMs = this.reportServers.cancelsKnownToMs(this.recordStore.knownToMs);
    this.acknowledgementLimits.update(knownMs, this.jobs.values(), now, this.options.clock.today());
    const homeMs = this.zoneLeaseMs(this.options.platform.zone, now);
    this.options.onLimits({
      term: this.lease.term,
      untilMs: this.acknowledgementLimits.untilMs,
      zoneUntilMs: homeMs > 0 ? now + homeMs : -Infinity,
      quarantined: this.acknowledgementLimits.quarantined,
      cancellationSeq: this.localCancellationSeq,
    });
  }

  machine(name: string, zone: string): Machine {
    let machine = this.machines.get(name);
    if (!machine) {
      machine = new Machine(name, null, zone, false, firstToken(this.lease.term), this.options.clock.nowMs());
      this.machines.set(name, machine);
    }
    return machine;
  }

  typesChanged(changedByCloud: boolean, fromCloud: boolean): void {
    for (const machine of this.machines.values())
      if (machine.type) machine.type = this.estimates.typeNamed(machine.type.name) ?? machine.type;
    if (changedByCloud || (fromCloud && this.recordStore.typesVersion === 0)) {
      this.recordStore.typesDirty = true;
      this.recordStore.requestWrite(0);
    }
  }

  tick(now: number): void {
    const { platform, operator, cloud } = this.options;
    if (now - this.lastTypesMs > (this.estimates.typesKnown ? 60_000 : 2000)) {
      this.lastTypesMs = now;
      cloud.tell({ kind: "types" });
    }
    if (!this.loaded) return;
    if (now - this.lastListMs > Math.max(4000, platform.listLagS * 1000)) {
      this.lastListMs = now;
      cloud.tell({ kind: "list" });
    }
    if (now - this.lastCountsMs > 1000) {
      this.lastCountsMs = now;
      const self = {
        node: platform.node,
        machines: this.options.workerCount(),
        lagMs: Math.round(this.options.lagMs()),
      };
      this.options.onServers(this.reportServers.servers(self, now));
      this.publishTaskCounts(now);
      this.logUsage(now);
    }
    this.updateLimits(now);
    if (!this.mayWrite()) return;
    this.recordStore.resume();
    this.handOver(now);
    this.supervisor.superviseAll(now);
    if (now - this.rounds.lastRoundMs > operator.elapseS * 1000) this.rounds.round(now);
    this.scheduler.requestCycle();
    if (this.recordStore.garbage.size > 0) this.recordStore.requestWrite(DEFERRED_WRITE_MS);
  }

  private logUsage(now: number): void {
    this.usageLog.sample(this.machines.values());
    if (now - this.loggedUsageMs < LOG_USAGE_MS) return;
    this.loggedUsageMs = now;
    const summary = this.usageLog.summary();
    if (summary !== null) log.info(`fleet in the last minute: ${summary}`);
  }

  /** A leader that can't keep up makes everybody wait; one that can takes over within a second. */
  private handOver(now: number): void {
    const lagMs = this.options.lagMs();
    if (lagMs < BEHIND_MS) this.behindSinceMs = Infinity;
    else if (this.behindSinceMs === Infinity) this.behindSinceMs = now;
    if (now - this.behindSinceMs < BEHIND_FOR_MS || now - this.startedMs < 20_000) return;
    if (this.reportServers.someoneFaster(lagMs, now)) this.options.onBehind(this.lease.term);
  }

  /** What has changed since it was told last; now and then everything, for whoever has come in between. */
  private publishTaskCounts(now: number): void {
    if (now - this.lastFullCountsMs > 10_000) {
      this.lastFullCountsMs = now;
      this.publishedCounts.clear();
    }
    const jobs = [];
    for (const job of this.jobs.values()) {
      const running = job.runningCount();
      const published = this.publishedCounts.get(job);
      if (published && published.done === job.doneCount && published.running === running) continue;
      this.publishedCounts.set(job, { done: job.doneCount, running });
      jobs.push({ id: job.id, done: job.doneCount, running });
    }
    for (let i = 0; i < jobs.length; i += 2000)
      this.options.onTaskCounts(this.lease.term, jobs.slice(i, i + 2000));
  }
}
