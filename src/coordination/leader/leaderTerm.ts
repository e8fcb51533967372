/** One term at work: hands each message and each tick down to the parts that it concerns, in a fixed order. */
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import { FleetUsageLog } from "../provisioning/fleetUsageLog.js";
import type { TermLease } from "../term/termLease.js";
import { DEFERRED_WRITE_MS } from "../term/writeQueue.js";
import type { LeaderOptions } from "./leaderOptions.js";
import { OverloadDetector } from "./overloadDetector.js";
import { TaskCountPublisher } from "./taskCountPublisher.js";
import type { TermMessage } from "./termMessage.js";
import type { TermParts } from "./termParts.js";

/** Machine types are requested this often once they are known: their prices change. */
const TYPES_INTERVAL_MS = 60_000;
/** Machine types are requested this often before they are known: nothing can be scaled out without them. */
const UNKNOWN_TYPES_INTERVAL_MS = 2000;
/** The cloud's list of machines is requested no more often than this, nor than the list itself changes. */
const LIST_INTERVAL_MS = 4000;
/** Task counts, the heartbeat servers' load and the fleet's usage are published this often. */
const PUBLISH_INTERVAL_MS = 1000;

/** One leader's term: forwards each message and tick to the parts it concerns. Thrown away whole when the term ends. */
export class LeaderTerm {
  private readonly taskCounts: TaskCountPublisher;
  private readonly fleetUsage: FleetUsageLog;
  private readonly overload: OverloadDetector;
  private lastListMs = -Infinity;
  private lastTypesMs: number;
  private lastPublishMs = -Infinity;

  constructor(
    private readonly parts: TermParts,
    private readonly options: LeaderOptions,
  ) {
    const { lease, jobs, machines, estimates } = parts;
    this.lastTypesMs = estimates.areTypesKnown ? lease.startedMs : -Infinity;
    this.taskCounts = new TaskCountPublisher(jobs, (counts) => options.onTaskCounts(lease.term, counts));
    this.fleetUsage = new FleetUsageLog(machines, lease.startedMs);
    this.overload = new OverloadDetector(lease.startedMs);
  }

  /** The lease of this term, moved and ended by the leader. */
  get lease(): TermLease {
    return this.parts.lease;
  }

  /** Begins the term: nothing is decided before its records are read. */
  begin(): void {
    this.parts.loader.load();
  }

  /** Handles what the term's own parts, the cloud's client and the controllers send. */
  handle(message: TermMessage): void {
    const { deliveryResults, loader, watcher, writer, grants, scheduler, provisioner } = this.parts;
    switch (message.kind) {
      case "heartbeat server update":
        this.receiveUpdate(message.update);
        break;
      case "delivery finished":
        deliveryResults.handleResult(message.result);
        break;
      case "loaded":
        loader.applyLoaded(message);
        grants.updateLimits(this.options.clock.nowMs());
        break;
      case "watched":
        watcher.applyWatchOutcome(message.outcome, message.sentMs);
        break;
      case "reread":
        writer.applyRereadOutcome(message.key, message.outcome);
        break;
      case "committed":
        writer.applyWriteOutcome(message.transaction, message.outcome);
        break;
      case "cycle":
        scheduler.runCycle();
        break;
      case "write":
        writer.writePendingChanges();
        break;
      case "cloud":
        provisioner.receiveCloudEvent(message.event);
        break;
    }
  }

  /** What a controller has acknowledged under a grant, or this controller's own heartbeat server by the leader's lease. */
  private receiveUpdate(update: HeartbeatServerUpdate): void {
    const { lease, servers, grants, heartbeats } = this.parts;
    const nowMs = this.options.clock.nowMs();
    const isLocal = update.from === this.options.platform.node;
    if (!isLocal) servers.applyUpdate(update, nowMs);
    // Before the records are read it is not known which of them mean anything here; they are sent again until then.
    if (lease.isLoaded) grants.applyCancellations(update, nowMs);
    for (const unchanged of update.unchanged)
      if (!heartbeats.receiveUnchanged(unchanged, update.from, nowMs))
        servers.requestResync(update.from, nowMs);
    for (const received of update.heartbeats) heartbeats.receive(received, update.from, nowMs);
    if (!isLocal) grants.issueGrant(update, nowMs);
  }

  /**
   * Machine types have come in: from the cloud itself or as an earlier leader stored them; `changed` says whether more than
   * their prices is new. Those from the cloud are stored when they are new, or when none are stored yet.
   */
  machineTypesChanged({ fromCloud, changed }: { fromCloud: boolean; changed: boolean }): void {
    const { machines, estimates, singletons, writes } = this.parts;
    for (const machine of machines.values())
      if (machine.type) machine.type = estimates.typeNamed(machine.type.name) ?? machine.type;
    const isStored = singletons.typesVersion > 0;
    if (!fromCloud || (isStored && !changed)) return;
    singletons.hasUnwrittenTypes = true;
    writes.requestWrite(0);
  }

  /** Something has changed that a scheduling cycle should look at. */
  requestCycle(): void {
    this.parts.cycles.requestCycle();
  }

  /** Does what is due by the clock. */
  tick(nowMs: number): void {
    const { lease, grants, writer, supervisor, rounds, cycles, jobRecords, writes, operator } = this.parts;
    this.requestMachineTypes(nowMs);
    if (!lease.isLoaded) return;
    this.requestMachineList(nowMs);
    this.publish(nowMs);
    grants.updateLimits(nowMs);
    if (!lease.mayWrite()) return;
    writer.resume();
    this.stepDownIfOverloaded(nowMs);
    supervisor.superviseAll(nowMs);
    if (nowMs - rounds.lastRoundMs > operator.roundIntervalS * 1000) rounds.runRound(nowMs);
    cycles.requestCycle();
    if (jobRecords.obsoleteKeys.size > 0) writes.requestWrite(DEFERRED_WRITE_MS);
  }

  private requestMachineTypes(nowMs: number): void {
    const intervalMs = this.parts.estimates.areTypesKnown ? TYPES_INTERVAL_MS : UNKNOWN_TYPES_INTERVAL_MS;
    if (nowMs - this.lastTypesMs <= intervalMs) return;
    this.lastTypesMs = nowMs;
    this.options.cloud.tell({ kind: "types" });
  }

  private requestMachineList(nowMs: number): void {
    if (nowMs - this.lastListMs <= Math.max(LIST_INTERVAL_MS, this.options.platform.listLagS * 1000)) return;
    this.lastListMs = nowMs;
    this.options.cloud.tell({ kind: "list" });
  }

  private publish(nowMs: number): void {
    if (nowMs - this.lastPublishMs <= PUBLISH_INTERVAL_MS) return;
    this.lastPublishMs = nowMs;
    this.parts.grants.publishServers(nowMs);
    this.taskCounts.publish(nowMs);
    this.fleetUsage.sample(nowMs);
  }

  /** A leader that can't keep up makes everybody wait; one that can takes over within a second. */
  private stepDownIfOverloaded(nowMs: number): void {
    const lagMs = this.options.lagMs();
    if (this.overload.isOverloaded(lagMs, nowMs) && this.parts.servers.hasFasterServer(lagMs, nowMs))
      this.options.onLagging(this.parts.lease.term);
  }
}
