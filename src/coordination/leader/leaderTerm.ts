/** The running term of a leader: dispatches messages and ticks to the term's components in a fixed order. */
import type { HeartbeatServerUpdate } from "../../protocol/peers/messages.js";
import { FleetUsageLog } from "../provisioning/fleetUsageLog.js";
import type { TermLease } from "../term/termLease.js";
import { DEFERRED_WRITE_MS } from "../term/writeQueue.js";
import type { LeaderOptions } from "./leaderOptions.js";
import { OverloadDetector } from "./overloadDetector.js";
import { TaskCountPublisher } from "./taskCountPublisher.js";
import type { TermMessage } from "./termMessage.js";
import type { TermComponents } from "./termComponents.js";

/** Interval between requests for machine types once they are known, because their prices change. */
const TYPES_INTERVAL_MS = 60_000;
/** Interval between requests for machine types before they are known, as scaling out requires them. */
const UNKNOWN_TYPES_INTERVAL_MS = 2000;
/** Minimum interval between requests for the cloud's machine list, unless the list itself lags by more. */
const LIST_INTERVAL_MS = 4000;
/** Interval at which task counts, the load of the heartbeat servers and the fleet usage are published. */
const PUBLISH_INTERVAL_MS = 1000;

/** Forwards each message and tick of one term to the components concerned. Is discarded when the term ends. */
export class LeaderTerm {
  private readonly taskCounts: TaskCountPublisher;
  private readonly fleetUsage: FleetUsageLog;
  private readonly overload: OverloadDetector;
  private lastListMs = -Infinity;
  private lastTypesMs: number;
  private lastPublishMs = -Infinity;

  constructor(
    private readonly components: TermComponents,
    private readonly options: LeaderOptions,
  ) {
    const { lease, jobs, machines, estimates } = components;
    this.lastTypesMs = estimates.areTypesKnown ? lease.startedMs : -Infinity;
    this.taskCounts = new TaskCountPublisher(jobs, (counts) => options.onTaskCounts(lease.term, counts));
    this.fleetUsage = new FleetUsageLog(machines, lease.startedMs);
    this.overload = new OverloadDetector(lease.startedMs);
  }

  /** The lease of this term, which the leader renews and ends. */
  get lease(): TermLease {
    return this.components.lease;
  }

  /** Starts to load the term's records; the term makes no decisions before they are loaded. */
  begin(): void {
    this.components.loader.load();
  }

  /** Handles a message from the term's components, the cloud client or a controller. */
  handle(message: TermMessage): void {
    const { deliveryResults, loader, watcher, writer, grants, scheduler, provisioner } = this.components;
    switch (message.kind) {
      case "heartbeat server update":
        this.handleHeartbeatServerUpdate(message.update);
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
        provisioner.handleCloudEvent(message.event);
        break;
    }
  }

  /** Applies what a controller acknowledged under a grant, or this controller under its leadership lease. */
  private handleHeartbeatServerUpdate(update: HeartbeatServerUpdate): void {
    const { lease, servers, grants, heartbeats } = this.components;
    const nowMs = this.options.clock.nowMs();
    const isLocal = update.from === this.options.platform.node;
    if (!isLocal) servers.applyUpdate(update, nowMs);
    // The jobs are unknown before the records are loaded; until then the controllers send their cancellations again.
    if (lease.isLoaded) grants.applyCancellations(update, nowMs);
    for (const unchanged of update.unchanged)
      if (!heartbeats.receiveUnchanged(unchanged, update.from, nowMs))
        servers.requestResync(update.from, nowMs);
    for (const received of update.heartbeats) heartbeats.receive(received, update.from, nowMs);
    if (!isLocal) grants.issueGrant(update, nowMs);
  }

  /**
   * Applies machine types, either listed by the cloud or stored by an earlier leader. `changed` is true if more than
   * their prices has changed. Types from the cloud are stored if they have changed or if none are stored yet.
   */
  applyMachineTypes({ fromCloud, changed }: { fromCloud: boolean; changed: boolean }): void {
    const { machines, estimates, singletons, writes } = this.components;
    for (const machine of machines.values())
      if (machine.type) machine.type = estimates.findType(machine.type.name) ?? machine.type;
    const isStored = singletons.typesVersion > 0;
    if (!fromCloud || (isStored && !changed)) return;
    singletons.hasUnwrittenTypes = true;
    writes.requestWrite(0);
  }

  /** Requests a scheduling cycle after a change that may allow placements. */
  requestCycle(): void {
    this.components.cycles.requestCycle();
  }

  /** Runs the periodic work that is due. */
  tick(nowMs: number): void {
    const { lease, grants, writer, supervisor, rounds, cycles, jobRecords, writes, operator } =
      this.components;
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
    const intervalMs = this.components.estimates.areTypesKnown
      ? TYPES_INTERVAL_MS
      : UNKNOWN_TYPES_INTERVAL_MS;
    if (nowMs - this.lastTypesMs <= intervalMs) return;
    this.lastTypesMs = nowMs;
    this.options.cloud.post({ kind: "types" });
  }

  private requestMachineList(nowMs: number): void {
    if (nowMs - this.lastListMs <= Math.max(LIST_INTERVAL_MS, this.options.platform.machineListLagS * 1000))
      return;
    this.lastListMs = nowMs;
    this.options.cloud.post({ kind: "list" });
  }

  private publish(nowMs: number): void {
    if (nowMs - this.lastPublishMs <= PUBLISH_INTERVAL_MS) return;
    this.lastPublishMs = nowMs;
    this.components.grants.publishServers(nowMs);
    this.taskCounts.publish(nowMs);
    this.fleetUsage.sample(nowMs);
  }

  /** Requests to step down: an overloaded leader delays every user, and a faster one takes over within a second. */
  private stepDownIfOverloaded(nowMs: number): void {
    const lagMs = this.options.lagMs();
    if (this.overload.isOverloaded(lagMs, nowMs) && this.components.servers.hasFasterServer(lagMs, nowMs))
      this.options.onLagging(this.components.lease.term);
  }
}
