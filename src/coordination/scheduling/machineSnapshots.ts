/**
 * Builds and caches the machine snapshots of scheduling cycles. Unchanged machines keep their snapshot, because
 * rebuilding all snapshots took most of a cycle's time.
 */
import type { MachineType } from "../../protocol/model.js";
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { Estimates } from "./estimates.js";
import { victimsOnMachine } from "./stopCost.js";
import { emptyMachineView, type MachineView, type VictimView } from "./views.js";

/** Multiple of the type's boot time after which a booting machine is overdue; few machines take longer. */
const LATE_BOOT_FACTOR = 1.7;
/** Time for registration and the first heartbeat, added to the boot time limit. */
const BOOT_MARGIN_S = 3;
/** Assumed remaining run time of a service: users decide when it ends, so it outlasts the one-hour planning horizon. */
const SERVICE_REMAINING_S = 3600;
/** Minimum remaining run time, also assumed for tasks that have exceeded their expected run time. */
const MIN_REMAINING_S = 3;

/** An order of machines of one type, zone and purchase option whose outcome the cloud has not reported yet. */
export interface OpenOrder {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Sources of the snapshots. */
export interface MachineSnapshotsContext {
  machines: MachineRegistry;
  estimates: Estimates;
  /** Seconds without an acknowledged heartbeat after which a machine gets no new tasks. */
  suspectS: number;
}

/** The machines that a scheduling cycle may use. */
export interface FleetSnapshot {
  /** Machines that are up, schedulable and healthy. */
  machines: MachineView[];
  /** Machines that are booting or ordered. */
  incoming: MachineView[];
}

interface CachedView {
  machine: Machine;
  machineRevision: number;
  acceleratorReserveRevision: number;
  view: MachineView;
}

/**
 * Owns the cache of machine snapshots. A snapshot is reused until its machine or the accelerator reserves change, or
 * until a cycle modifies the snapshot: only a few of hundreds of machines change between two cycles.
 */
export class MachineSnapshots {
  private readonly cache = new Map<string, CachedView>();

  constructor(private readonly context: MachineSnapshotsContext) {}

  /** Returns snapshots of the schedulable machines, and of the machines that are booting or in open orders. */
  take(openOrders: ReadonlyMap<string, OpenOrder>, nowMs: number): FleetSnapshot {
    const machines: MachineView[] = [];
    const incoming: MachineView[] = [];
    for (const machine of this.context.machines.values()) {
      const { type } = machine;
      if (!type || !isSchedulable(machine)) continue;
      if (machine.state === "booting") {
        // Scale-out modifies these views after the cycle, so they are not cached.
        if (!isBootOverdue(machine, nowMs)) incoming.push(this.buildView(machine, type));
      } else if (this.isHealthy(machine, nowMs)) machines.push(this.cachedViewOf(machine, type));
    }
    for (const order of openOrders.values()) this.addOrderedMachines(order, incoming);
    return { machines, incoming };
  }

  /** Drops snapshots that a cycle has modified. */
  invalidate(views: Iterable<MachineView>): void {
    for (const view of views) this.cache.delete(view.name);
  }

  /**
   * Returns true if the machine is reachable and its heartbeats are recent. Reachability alone is not enough: if
   * heartbeats reach no controller, tasks started there end when the machine's lease expires.
   */
  private isHealthy(machine: Machine, nowMs: number): boolean {
    return machine.isReachable && nowMs - machine.lastHeartbeatMs < this.context.suspectS * 1000;
  }

  private addOrderedMachines(
    { type: typeName, zone, spot, count }: OpenOrder,
    incoming: MachineView[],
  ): void {
    const { estimates } = this.context;
    const type = estimates.findType(typeName);
    if (!type) return;
    for (let i = 0; i < count; i++)
      incoming.push(emptyMachineView(type, zone, spot, estimates.acceleratorReserveOn(type, spot)));
  }

  private cachedViewOf(machine: Machine, type: MachineType): MachineView {
    const { acceleratorReserveRevision } = this.context.estimates;
    const cached = this.cache.get(machine.name);
    if (
      cached?.machine === machine &&
      cached.machineRevision === machine.revision &&
      cached.acceleratorReserveRevision === acceleratorReserveRevision &&
      cached.view.type === type
    ) {
      return cached.view;
    }
    const view = this.buildView(machine, type);
    this.cache.set(machine.name, {
      machine,
      machineRevision: machine.revision,
      acceleratorReserveRevision,
      view,
    });
    return view;
  }

  private buildView(machine: Machine, type: MachineType): MachineView {
    const { estimates } = this.context;
    const { name, zone, spot, used } = machine;
    const view = emptyMachineView(type, zone, spot, estimates.acceleratorReserveOn(type, spot));
    view.name = name;
    view.idleSinceMs = machine.state === "up" ? machine.idleSinceMs : null;
    view.free.cpus -= used.cpus;
    view.free.gpus -= used.gpus;
    view.free.memoryGb -= used.memoryGb;
    view.zoneHasController = estimates.controllerZones.has(zone);
    addImages(view, machine);
    for (const attempt of machine.attempts) addAttempt(view, attempt);
    let victims: VictimView[] | null = null;
    view.victims = () => (victims ??= victimsOnMachine(machine));
    view.timeUntilIdleS = (nowMs) => this.longestRemainingS(machine, nowMs);
    return view;
  }

  private longestRemainingS(machine: Machine, nowMs: number): number {
    let longestS = 0;
    for (const attempt of machine.attempts) longestS = Math.max(longestS, this.remainingS(attempt, nowMs));
    return longestS;
  }

  private remainingS({ job: { spec }, runningMs }: Attempt, nowMs: number): number {
    if (spec.kind === "service") return SERVICE_REMAINING_S;
    const ranS = runningMs === null ? 0 : (nowMs - runningMs) / 1000;
    const expectedS = this.context.estimates.runTimes.expectedRunTimeS(spec.className, spec.estimateS);
    return Math.max(MIN_REMAINING_S, expectedS - ranS);
  }
}

function isSchedulable({ state, isCordoned, interruptionAtMs }: Machine): boolean {
  return state !== "leaving" && !isCordoned && interruptionAtMs === null;
}

function addImages(view: MachineView, { images }: Machine): void {
  for (const image of images.fetchedImages()) view.images.add(image);
  for (const image of images.fetchingImages()) view.fetching.add(image);
  view.fetchBacklogGb = images.fetchBacklogGb();
}

function addAttempt(view: MachineView, attempt: Attempt): void {
  const { spec } = attempt.job;
  view.runsGpuWork ||= spec.gpus > 0;
  if (attempt.machine.images.isFetching(spec.image))
    view.fetchPriority = Math.max(view.fetchPriority, spec.priority);
  if (!attempt.stop) return;
  view.stopping.cpus += spec.cpus;
  view.stopping.gpus += spec.gpus;
  view.stopping.memoryGb += spec.memoryGb;
}

/**
 * Returns true if the machine has exceeded its type's boot time by so much that plans no longer include it. A
 * replacement may be ordered; if the machine comes up after all, it is used. A machine that was up before is never
 * overdue: it may be temporarily cut off by a network partition. Pure function.
 */
export function isBootOverdue(machine: Machine, nowMs: number): boolean {
  if (machine.isListedAsRunning || machine.attempts.size > 0 || !machine.type) return false;
  const latestBootS = machine.type.bootS * LATE_BOOT_FACTOR + BOOT_MARGIN_S;
  return nowMs - machine.createdMs > latestBootS * 1000;
}
