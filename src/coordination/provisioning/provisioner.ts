import type { JobSpec, ListedMachine } from "../../protocol/model.js";
import type { Machine } from "../../bookkeeping/machines.js";
import { log } from "../../transport/log.js";
import type { CloudNews, RentOrder } from "./cloudClient.js";
import type { LeaderOptions } from "../leadership/leader.js";
import { planRentals } from "./rentalPlan.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { PlacementPlan } from "../scheduling/placementPlan.js";
import type { LeaderTerm } from "../leadership/leaderTerm.js";
import { allows, howMany, type MachineView } from "../scheduling/views.js";

/** What the cloud refused is asked for again after this, then after twice as long, and so on. */
const FIRST_REFUSED_MS = 8000;
const MAX_REFUSED_MS = 40_000;
/** Rentals under way at the same time. */
const MAX_ORDERS = 4;
/** The cloud takes a few calls a second; what to ask it is not thought over at every cycle. */
const RENT_EVERY_MS = 200;
/** Machines that one cycle may want. */
const MAX_MACHINES = 250;

/** Owns the orders to the cloud: what is rented, what was refused, what is given back. */
export class Provisioner {
  readonly openOrders = new Map<string, RentOrder>();
  private readonly refusedUntilMs = new Map<string, number>();
  /** Refusals in a row, by type, zone and kind. */
  private readonly refusals = new Map<string, number>();
  private nextRequest = 0;
  private lastPlanMs = -Infinity;

  constructor(
    private readonly leaderTerm: LeaderTerm,
    private readonly options: LeaderOptions,
    private readonly estimates: Estimates,
  ) {}

  /** What the cloud said of machines. */
  receiveNews(news: Exclude<CloudNews, { kind: "types" }>): void {
    const now = this.options.clock.nowMs();
    switch (news.kind) {
      case "rented":
        // Of an earlier term of ours: they show up in reports and lists.
        if (!this.openOrders.delete(news.order.request)) return;
        for (const name of news.names) {
          if (this.leaderTerm.removed.has(name)) continue;
          const machine = this.leaderTerm.machine(name, news.order.zone);
          machine.spot = news.order.spot;
          machine.type ??= this.estimates.typeNamed(news.order.type);
        }
        if (news.names.length > 0) this.available(news.order.type, news.order.zone, news.order.spot);
        if (news.names.length < news.order.count) this.refused(news.order, now);
        this.leaderTerm.scheduler.requestCycle();
        break;
      case "no capacity":
        if (!this.openOrders.delete(news.order.request)) return;
        this.refused(news.order, now);
        this.leaderTerm.scheduler.requestCycle();
        break;
      case "removed":
        for (const name of news.names) {
          this.leaderTerm.removed.add(name);
          const m = this.leaderTerm.machines.get(name);
          if (!m) continue;
          if (m.type) this.available(m.type.name, m.zone, m.spot);
          // The cloud's 200 to a deletion: the machine and everything on it is gone.
          for (const a of [...m.attempts]) this.leaderTerm.attempts.lost(a);
          this.leaderTerm.machines.delete(name);
        }
        this.leaderTerm.scheduler.requestCycle();
        break;
      case "listed":
        for (const l of news.machines) this.listed(l, now);
        break;
    }
  }

  private listed(listed: ListedMachine, now: number): void {
    if (this.leaderTerm.removed.has(listed.name)) return;
    const known = this.leaderTerm.machines.get(listed.name);
    const machine = known ?? this.leaderTerm.machine(listed.name, listed.zone);
    if (!known) {
      machine.spot = listed.spot;
      // Its age is the cloud's to tell: one that never comes up must not look young to each new leader.
      machine.bornMs = now - listed.ageS * 1000;
      log.info(`${listed.name}: found in the cloud's list (${listed.type} ${listed.zone}, ${listed.phase})`);
    }
    machine.type ??= this.estimates.typeNamed(listed.type);
    if (machine.zone === "") machine.zone = listed.zone;
    if (machine.address === "") machine.address = listed.address;
    if (machine.state === "booting") machine.spot = listed.spot;
    if (listed.phase === "running") machine.listedUp = true;
    if (listed.phase === "failed") this.remove(machine, "failed");
  }

  /** One was granted, or has just been given back: asking makes sense again. */
  private available(type: string, zone: string, spot: boolean): void {
    const key = `${type} ${zone} ${spot}`;
    this.refusals.delete(key);
    this.refusedUntilMs.delete(key);
  }

  /** Nothing that the job could use is to be had there at present. */
  refusedAll(spec: JobSpec, zone: string, now: number): boolean {
    for (const type of this.estimates.types) {
      if (!type.zones.includes(zone) || !allows(spec, type.name, zone, false)) continue;
      if (howMany(spec, { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb }) <= 0) continue;
      for (const spot of spec.spot ? [true, false] : [false])
        if ((this.refusedUntilMs.get(`${type.name} ${zone} ${spot}`) ?? 0) <= now) return false;
    }
    return true;
  }

  private refused(order: RentOrder, now: number): void {
    const key = `${order.type} ${order.zone} ${order.spot}`;
    const before = this.refusals.get(key) ?? 0;
    this.refusals.set(key, before + 1);
    this.refusedUntilMs.set(key, now + Math.min(MAX_REFUSED_MS, FIRST_REFUSED_MS * 2 ** before));
  }

  remove(machine: Machine, reason: string): void {
    if (machine.state === "leaving") return;
    log.info(`${machine.name}: given back: ${reason}`);
    machine.state = "leaving";
    this.options.cloud.tell({ kind: "remove", names: [machine.name] });
  }

  rent(plan: PlacementPlan, coming: MachineView[]): void {
    if (plan.unplaced.length === 0) return;
    const now = this.options.clock.nowMs();
    if (now - this.lastPlanMs < RENT_EVERY_MS) return;
    this.lastPlanMs = now;
    // A task that fits nowhere first triggers a squeeze; only what still waits then rents.
    if (now - this.leaderTerm.rounds.lastRoundMs > 1000) this.leaderTerm.rounds.round(now);
    if (this.openOrders.size >= MAX_ORDERS) return;
    const refused = new Set<string>();
    for (const [key, untilMs] of this.refusedUntilMs) if (untilMs > now) refused.add(key);
    const targets = planRentals({
      unplaced: plan.unplaced,
      types: this.estimates.types,
      coming,
      refused: (type, zone, spot) => refused.size > 0 && refused.has(`${type} ${zone} ${spot}`),
      maxMachines: MAX_MACHINES,
      claim: (type, spot) => this.estimates.claimOn(type, spot),
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
      const order: RentOrder = {
        ...target,
        count: Math.min(50, target.count),
        request: `t${this.leaderTerm.lease.term}-${++this.nextRequest}`,
      };
      this.openOrders.set(order.request, order);
      log.info(
        `renting ${order.count} ${order.type} in ${order.zone}${order.spot ? " (spot)" : ""}: ${order.request}`,
      );
      this.options.cloud.tell({ kind: "rent", order });
    }
  }
}
