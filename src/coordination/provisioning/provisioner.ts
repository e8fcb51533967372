/** Scales the fleet out and in, and applies the cloud's events on machines. */
import { UNKNOWN_ZONE, type JobSpec, type ListedMachine } from "../../protocol/model.js";
import type { Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";
import { log, quoteName } from "../../transport/log.js";
import type { ConsolidationRounds } from "../consolidation/consolidationRounds.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { PlacementPlan } from "../scheduling/placementPlan.js";
import type { FleetScaler } from "../scheduling/scheduler.js";
import type { MachineView } from "../scheduling/views.js";
import type { Attempts } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { CapacityRefusals } from "./capacityRefusals.js";
import type { CloudRequests } from "./cloudClient.js";
import type { MachineEvent } from "./cloudEvents.js";
import type { ScaleOutOrder, ScaleOutTarget } from "./machineOrders.js";
import { OpenOrders } from "./openOrders.js";
import { planScaleOut } from "./scaleOutPlan.js";

/** Shortest time between two plans: the cloud handles only a few calls per second, so not every cycle plans orders. */
const MIN_PLAN_INTERVAL_MS = 200;
const MAX_MACHINES_PER_PLAN = 250;
/** Unplaced work triggers a consolidation round unless the last one is more recent than this. */
const MIN_ROUND_INTERVAL_MS = 1000;

/** The parts of the term that provisioning uses. */
export interface ProvisionerContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  attempts: Attempts;
  cycles: CycleRequests;
  rounds: ConsolidationRounds;
  estimates: Estimates;
  cloud: CloudRequests;
}

/**
 * Scales the fleet out and in: orders and deletes machines, and applies the cloud's events on them. Owns the open
 * orders and the backoff of refused kinds of machines.
 */
export class Provisioner implements FleetScaler {
  private readonly orders: OpenOrders;
  private readonly refusals = new CapacityRefusals();
  private lastPlanMs = -Infinity;

  constructor(private readonly context: ProvisionerContext) {
    this.orders = new OpenOrders(() => context.lease.term);
  }

  get openOrders(): ReadonlyMap<string, ScaleOutOrder> {
    return this.orders.byIdempotencyKey;
  }

  /** Applies an event on machines from the cloud. */
  handleCloudEvent(event: MachineEvent): void {
    const nowMs = this.context.clock.nowMs();
    switch (event.kind) {
      case "created":
        this.handleCreated(event.order, event.names, nowMs);
        break;
      case "no capacity":
        this.handleNoCapacity(event.order, nowMs);
        break;
      case "deleted":
        for (const name of event.names) this.handleDeleted(name);
        this.context.cycles.requestCycle();
        break;
      case "listed":
        for (const listed of event.machines) this.handleListed(listed, nowMs);
        break;
    }
  }

  private handleCreated(order: ScaleOutOrder, names: string[], nowMs: number): void {
    const { machines, estimates, cycles } = this.context;
    // An order of an earlier term of this controller is not open: its machines appear in heartbeats and lists.
    if (!this.orders.close(order)) return;
    for (const name of names) {
      if (machines.isRemoved(name)) continue;
      const machine = machines.getOrCreate(name, order.zone);
      machine.spot = order.spot;
      machine.type ??= estimates.findType(order.type);
    }
    if (names.length > 0) this.refusals.clear(order.type, order.zone, order.spot);
    if (names.length < order.count) this.refusals.recordRefusal(order, nowMs);
    cycles.requestCycle();
  }

  private handleNoCapacity(order: ScaleOutOrder, nowMs: number): void {
    if (!this.orders.close(order)) return;
    this.refusals.recordRefusal(order, nowMs);
    this.context.cycles.requestCycle();
  }

  /** Removes a machine whose deletion the cloud has confirmed; its attempts are lost. */
  private handleDeleted(name: string): void {
    const { machines, attempts } = this.context;
    machines.markRemoved(name);
    const machine = machines.get(name);
    if (!machine) return;
    if (machine.type) this.refusals.clear(machine.type.name, machine.zone, machine.spot);
    for (const attempt of [...machine.attempts]) attempts.markLost(attempt);
    machines.remove(name);
  }

  private handleListed(listed: ListedMachine, nowMs: number): void {
    const { machines, estimates } = this.context;
    if (machines.isRemoved(listed.name)) return;
    const isNew = machines.get(listed.name) === undefined;
    const machine = machines.getOrCreate(listed.name, listed.zone);
    if (isNew) {
      machine.spot = listed.spot;
      // The age comes from the cloud: otherwise a machine that never boots would look new to each new leader.
      machine.createdMs = nowMs - listed.ageS * 1000;
      log.info(
        `${quoteName(listed.name)}: found in the cloud's list (${quoteName(listed.type)} ${quoteName(listed.zone)}, ${listed.phase})`,
      );
    }
    machine.type ??= estimates.findType(listed.type);
    // Until the worker reports, the cloud's list is more certain than a zone that was read from a record.
    if (machine.state === "booting" || machine.zone === UNKNOWN_ZONE)
      machine.zone = listed.zone || machine.zone;
    if (machine.address === "") machine.address = listed.address;
    if (machine.state === "booting") machine.spot = listed.spot;
    if (listed.phase === "running") machine.isListedAsRunning = true;
    if (listed.phase === "failed") this.scaleIn(machine, "failed");
  }

  isCapacityRefused(spec: JobSpec, zone: string, nowMs: number): boolean {
    return this.refusals.isCapacityRefused(spec, this.context.estimates.types, zone, nowMs);
  }

  /** Asks the cloud to delete a machine, unless that was done already, and logs the reason. */
  scaleIn(machine: Machine, reason: string): void {
    if (machine.state === "leaving") return;
    log.info(`${quoteName(machine.name)}: scaled in: ${reason}`);
    machine.state = "leaving";
    this.context.cloud.post({ kind: "delete", names: [machine.name] });
  }

  scaleOut(plan: PlacementPlan, incoming: MachineView[]): void {
    if (plan.unplaced.length === 0) return;
    const nowMs = this.context.clock.nowMs();
    if (nowMs - this.lastPlanMs < MIN_PLAN_INTERVAL_MS) return;
    this.lastPlanMs = nowMs;
    // A consolidation round may make room for unplaced tasks, so it comes before the decision to scale out.
    const { rounds } = this.context;
    if (nowMs - rounds.lastRoundMs > MIN_ROUND_INTERVAL_MS) rounds.runRound(nowMs);
    if (this.orders.isFull) return;
    this.placeOrders(this.planTargets(plan, incoming, nowMs));
  }

  private planTargets(plan: PlacementPlan, incoming: MachineView[], nowMs: number): ScaleOutTarget[] {
    const { estimates } = this.context;
    return planScaleOut({
      unplaced: plan.unplaced,
      types: estimates.types,
      incoming,
      isRefused: this.refusals.refusalPredicate(nowMs),
      maxMachines: MAX_MACHINES_PER_PLAN,
      acceleratorReserve: (type, spot) => estimates.acceleratorReserveOn(type, spot),
    });
  }

  /**
   * Orders the targets. The cloud handles only a few calls per second, so one order is open per kind of machine and few
   * in total: the machines for the most important work never wait behind a queue of outdated orders.
   */
  private placeOrders(targets: ScaleOutTarget[]): void {
    for (const target of targets) {
      if (this.orders.isFull) break;
      if (this.orders.hasOrderForKind(target)) continue;
      const order = this.orders.open(target);
      const kind = `${quoteName(order.type)} in ${quoteName(order.zone)}${order.spot ? " (spot)" : ""}`;
      log.info(`scaling out by ${order.count} ${kind}, request ${order.idempotencyKey}`);
      this.context.cloud.post({ kind: "create", order });
    }
  }
}
