/**
 * Snapshots of machines, kept from cycle to cycle while the machine stays the same: building all of them anew took
 * most of a cycle.
 */
import type { MachineType } from "../../protocol/model.js";
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { Estimates } from "./estimates.js";
import { victimsOn } from "./stopCost.js";
import { emptyMachineView, type MachineView, type VictimView } from "./views.js";

/** Few machines take this many times their type's boot time to come up; those that do are not waited for. */
const LATE_BOOT_FACTOR = 1.7;
/** Added to that: registration and the first heartbeat. */
const BOOT_MARGIN_S = 3;
/** A service ends when its users want it to: not within the hour that plans look ahead. */
const SERVICE_REMAINING_S = 3600;
/** What has run for longer than expected is still not over at once. */
const MIN_REMAINING_S = 3;

/** A machine type that was ordered from the cloud and has not come up yet. */
export interface OpenOrder {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** What the snapshots are made from. */
export interface MachineSnapshotsContext {
  machines: MachineRegistry;
  estimates: Estimates;
  /** Seconds of silence after which nothing new is placed on a machine. */
  suspectS: number;
}

/** The machines that one cycle may plan with. */
export interface FleetSnapshot {
  /** Up, and to be trusted with new work. */
  machines: MachineView[];
  /** Booting or ordered. */
  incoming: MachineView[];
}

interface CachedView {
  machine: Machine;
  machineRevision: number;
  reserveRevision: number;
  view: MachineView;
}

/**
 * Builds the snapshots of machines for a cycle. A snapshot is kept from cycle to cycle until its machine changes, or until
 * a cycle has written on it: of hundreds of machines only a few change between two cycles.
 */
export class MachineSnapshots {
  private readonly cache = new Map<string, CachedView>();

  constructor(private readonly context: MachineSnapshotsContext) {}

  /** Machines that may get new work, booting ones, and those of the open orders. */
  take(openOrders: ReadonlyMap<string, OpenOrder>, nowMs: number): FleetSnapshot {
    const machines: MachineView[] = [];
    const incoming: MachineView[] = [];
    for (const machine of this.context.machines.values()) {
      const { type } = machine;
      if (!type || !mayGetWork(machine)) continue;
      if (machine.state === "booting") {
        // Scale-out writes on these as well, after the cycle: built anew each time.
        if (!isOverdueToBoot(machine, nowMs)) incoming.push(this.buildView(machine, type));
      } else if (this.isTrusted(machine, nowMs)) machines.push(this.viewOf(machine, type));
    }
    for (const order of openOrders.values()) this.addOrdered(order, incoming);
    return { machines, incoming };
  }

  /** Drops snapshots that a cycle has written on. */
  discard(views: Iterable<MachineView>): void {
    for (const view of views) this.cache.delete(view.name);
  }

  /**
   * A machine may be reachable for commands while its heartbeats reach no controller: what is started there would die with
   * its lease.
   */
  private isTrusted(machine: Machine, nowMs: number): boolean {
    return machine.isReachable && nowMs - machine.lastHeartbeatMs < this.context.suspectS * 1000;
  }

  private addOrdered({ type: typeName, zone, spot, count }: OpenOrder, incoming: MachineView[]): void {
    const { estimates } = this.context;
    const type = estimates.typeNamed(typeName);
    if (!type) return;
    for (let i = 0; i < count; i++)
      incoming.push(emptyMachineView(type, zone, spot, estimates.acceleratorReserveOn(type, spot)));
  }

  private viewOf(machine: Machine, type: MachineType): MachineView {
    const { acceleratorReserveRevision: reserveRevision } = this.context.estimates;
    const cached = this.cache.get(machine.name);
    if (
      cached?.machine === machine &&
      cached.machineRevision === machine.revision &&
      cached.reserveRevision === reserveRevision &&
      cached.view.type === type
    ) {
      return cached.view;
    }
    const view = this.buildView(machine, type);
    this.cache.set(machine.name, { machine, machineRevision: machine.revision, reserveRevision, view });
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
    view.victims = () => (victims ??= victimsOn(machine));
    view.freeInS = (nowMs) => this.longestRemainingS(machine, nowMs);
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
    const expectedS = this.context.estimates.runTimes.expectedS(spec.className, spec.estimateS);
    return Math.max(MIN_REMAINING_S, expectedS - ranS);
  }
}

function mayGetWork({ state, isCordoned, interruptionAtMs }: Machine): boolean {
  return state !== "leaving" && !isCordoned && interruptionAtMs === null;
}

function addImages(view: MachineView, { images }: Machine): void {
  for (const image of images.fetchedImages()) view.images.add(image);
  for (const image of images.fetchingImages()) view.fetching.add(image);
  view.backlogGb = images.backlogGb();
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
 * Has the machine been booting for so much longer than its type takes that nobody should count on it any more? Another
 * may be ordered in its place; should it come up after all, it is used. A machine that was up before is not late but
 * silent: cut off, say, and back in a while. Pure.
 */
export function isOverdueToBoot(machine: Machine, nowMs: number): boolean {
  if (machine.isListedAsRunning || machine.attempts.size > 0 || !machine.type) return false;
  const latestBootS = machine.type.bootS * LATE_BOOT_FACTOR + BOOT_MARGIN_S;
  return nowMs - machine.createdMs > latestBootS * 1000;
}
