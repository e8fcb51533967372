import type { JobSpec, ListedMachine } from "../../protocol/model.js";
import type { Machine } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import type { Clock } from "../../transport/clock.js";
import type { ConsolidationRounds } from "../consolidation/consolidationRounds.js";
import type { Attempts } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { CloudClient, CloudEvent, ScaleOutOrder } from "./cloudClient.js";
import { planScaleOut } from "./scaleOutPlan.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { PlacementPlan } from "../scheduling/placementPlan.js";
import { allowsPlacement, fittingTasks } from "../scheduling/fitting.js";
import type { MachineView } from "../scheduling/views.js";

/** What the cloud refused is asked for again after this, then after twice as long, and so on. */
const FIRST_REFUSED_MS = 8000;
const MAX_REFUSED_MS = 40_000;
/** Rentals under way at the same time. */
const MAX_ORDERS = 4;
/** The cloud takes a few calls a second; what to ask it is not thought over at every cycle. */
const RENT_EVERY_MS = 200;
/** Machines that one cycle may want. */
const MAX_MACHINES = 250;

/** What provisioning uses of the term. */
export interface ProvisionerContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  attempts: Attempts;
  cycles: CycleRequests;
  rounds: ConsolidationRounds;
  estimates: Estimates;
  cloud: CloudClient;
}

/** Owns the orders to the cloud: what is rented, what was refused, what is given back. */
export class Provisioner {
  readonly openOrders = new Map<string, ScaleOutOrder>();
  private readonly refusedUntilMs = new Map<string, number>();
  /** Refusals in a row, by type, zone and kind. */
  private readonly refusals = new Map<string, number>();
  private nextRequest = 0;
  private lastPlanMs = -Infinity;

  constructor(private readonly context: ProvisionerContext) {}

  /** What the cloud said of machines. */
  receiveCloudEvent(news: Exclude<CloudEvent, { kind: "types" }>): void {
    const now = this.context.clock.nowMs();
    switch (news.kind) {
      case "rented":
        // Of an earlier term of ours: they show up in reports and lists.
        if (!this.openOrders.delete(news.order.request)) return;
        for (const name of news.names) {
          if (this.context.machines.isRemoved(name)) continue;
          const machine = this.context.machines.getOrCreate(name, news.order.zone);
          machine.spot = news.order.spot;
          machine.type ??= this.context.estimates.typeNamed(news.order.type);
        }
        if (news.names.length > 0) this.available(news.order.type, news.order.zone, news.order.spot);
        if (news.names.length < news.order.count) this.refused(news.order, now);
        this.context.cycles.requestCycle();
        break;
      case "no capacity":
        if (!this.openOrders.delete(news.order.request)) return;
        this.refused(news.order, now);
        this.context.cycles.requestCycle();
        break;
      case "removed":
        for (const name of news.names) {
          this.context.machines.markRemoved(name);
          const m = this.context.machines.get(name);
          if (!m) continue;
          if (m.type) this.available(m.type.name, m.zone, m.spot);
          // The cloud's 200 to a deletion: the machine and everything on it is gone.
          for (const a of [...m.attempts]) this.context.attempts.markLost(a);
          this.context.machines.remove(name);
        }
        this.context.cycles.requestCycle();
        break;
      case "listed":
        for (const l of news.machines) this.listed(l, now);
        break;
    }
  }

  private listed(listed: ListedMachine, now: number): void {
    if (this.context.machines.isRemoved(listed.name)) return;
    const known = this.context.machines.get(listed.name);
    const machine = known ?? this.context.machines.getOrCreate(listed.name, listed.zone);
    if (!known) {
      machine.spot = listed.spot;
      // Its age is the cloud's to tell: one that never comes up must not look young to each new leader.
      machine.createdMs = now - listed.ageS * 1000;
      log.info(`${listed.name}: found in the cloud's list (${listed.type} ${listed.zone}, ${listed.phase})`);
    }
    machine.type ??= this.context.estimates.typeNamed(listed.type);
    if (machine.zone === "") machine.zone = listed.zone;
    if (machine.address === "") machine.address = listed.address;
    if (machine.state === "booting") machine.spot = listed.spot;
    if (listed.phase === "running") machine.isListedAsRunning = true;
    if (listed.phase === "failed") this.scaleIn(machine, "failed");
  }

  /** One was granted, or has just been given back: asking makes sense again. */
  private available(type: string, zone: string, spot: boolean): void {
    const key = `${type} ${zone} ${spot}`;
    this.refusals.delete(key);
    this.refusedUntilMs.delete(key);
  }

  /** Nothing that the job could use is to be had there at present. */
  isEverythingRefused(spec: JobSpec, zone: string, now: number): boolean {
    for (const type of this.context.estimates.types) {
      if (!type.zones.includes(zone) || !allowsPlacement(spec, type.name, zone, false)) continue;
      if (fittingTasks(spec, { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb }) <= 0) continue;
      for (const spot of spec.spot ? [true, false] : [false])
        if ((this.refusedUntilMs.get(`${type.name} ${zone} ${spot}`) ?? 0) <= now) return false;
    }
    return true;
  }

  private refused(order: ScaleOutOrder, now: number): void {
    const key = `${order.type} ${order.zone} ${order.spot}`;
    const before = this.refusals.get(key) ?? 0;
    this.refusals.set(key, before + 1);
    this.refusedUntilMs.set(key, now + Math.min(MAX_REFUSED_MS, FIRST_REFUSED_MS * 2 ** before));
  }

  scaleIn(machine: Machine, reason: string): void {
    if (machine.state === "leaving") return;
    log.info(`${machine.name}: given back: ${reason}`);
    machine.state = "leaving";
    this.context.cloud.tell({ kind: "remove", names: [machine.name] });
  }

  scaleOut(plan: PlacementPlan, incoming: MachineView[]): void {
    if (plan.unplaced.length === 0) return;
    const now = this.context.clock.nowMs();
    if (now - this.lastPlanMs < RENT_EVERY_MS) return;
    this.lastPlanMs = now;
    // A task that fits nowhere first triggers a squeeze; only what still waits then rents.
    if (now - this.context.rounds.lastRoundMs > 1000) this.context.rounds.runRound(now);
    if (this.openOrders.size >= MAX_ORDERS) return;
    const refused = new Set<string>();
    for (const [key, untilMs] of this.refusedUntilMs) if (untilMs > now) refused.add(key);
    const targets = planScaleOut({
      unplaced: plan.unplaced,
      types: this.context.estimates.types,
      incoming,
      refused: (type, zone, spot) => refused.size > 0 && refused.has(`${type} ${zone} ${spot}`),
      maxMachines: MAX_MACHINES,
      acceleratorReserve: (type, spot) => this.context.estimates.acceleratorReserveOn(type, spot),
    });
    for (const target of targets) {
      // The cloud answers a few calls a second: one question at a time about each kind of machine, few under way,
      // so that what the most important work needs is never behind a queue of stale questions.
      if (this.openOrders.size >= MAX_ORDERS) break;
      if (
        [...this.openOrders.values()].some(
          (o) => o.type === target.type && o.zone === target.zone && o.spot === target.spot,
        )
      )
        continue;
      // Made of the term and a counter, so no other node or life ever uses the name (the cloud would answer
      // it with the machines of the first use).
      const order: ScaleOutOrder = {
        ...target,
        count: Math.min(50, target.count),
        request: `t${this.context.lease.term}-${++this.nextRequest}`,
      };
      this.openOrders.set(order.request, order);
      log.info(
        `renting ${order.count} ${order.type} in ${order.zone}${order.spot ? " (spot)" : ""}: ${order.request}`,
      );
      this.context.cloud.tell({ kind: "rent", order });
    }
  }
}
