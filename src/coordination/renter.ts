import type { JobSpec, ListedMachine } from "../protocol/model.js";
import type { Machine } from "../bookkeeping/machines.js";
import { log } from "../transport/log.js";
import type { CloudNews, RentOrder } from "./cloudDesk.js";
import type { LeaderOptions } from "./leader.js";
import { wishToRent } from "./fleet.js";
import type { Estimates } from "./estimates.js";
import type { PlacementPlan } from "./placement.js";
import type { LeaderTerm } from "./leaderTerm.js";
import { allows, howMany, type MachineView } from "./views.js";

/** What the cloud refused is asked for again after this, then after twice as long, and so on. */
const FIRST_REFUSED_MS = 8000;
const MAX_REFUSED_MS = 40_000;
/** Rentals under way at the same time. */
const MAX_ORDERS = 4;
/** The cloud takes a few calls a second; what to ask it is not thought over at every pass. */
const RENT_EVERY_MS = 200;
/** Machines that one pass may want. */
const MAX_MACHINES = 250;

/** Owns the orders to the cloud: what is rented, what was refused, what is given back. */
export class Renter {
  readonly renting = new Map<string, RentOrder>();
  private readonly refusedUntilMs = new Map<string, number>();
  /** Refusals in a row, by type, zone and kind. */
  private readonly refusals = new Map<string, number>();
  private nextRequest = 0;
  private lastWishMs = -Infinity;

  constructor(
    private readonly r: LeaderTerm,
    private readonly o: LeaderOptions,
    private readonly estimates: Estimates,
  ) {}

  /** What the cloud said of machines. */
  heard(news: Exclude<CloudNews, { kind: "types" }>): void {
    const now = this.o.clock.nowMs();
    switch (news.kind) {
      case "rented":
        // Of an earlier term of ours: they show up in reports and lists.
        if (!this.renting.delete(news.order.request)) return;
        for (const name of news.names) {
          if (this.r.removed.has(name)) continue;
          const m = this.r.machine(name, news.order.zone);
          m.spot = news.order.spot;
          m.type ??= this.estimates.typeNamed(news.order.type);
        }
        if (news.names.length > 0) this.available(news.order.type, news.order.zone, news.order.spot);
        if (news.names.length < news.order.count) this.refused(news.order, now);
        this.r.placer.requestPass();
        break;
      case "no capacity":
        if (!this.renting.delete(news.order.request)) return;
        this.refused(news.order, now);
        this.r.placer.requestPass();
        break;
      case "removed":
        for (const name of news.names) {
          this.r.removed.add(name);
          const m = this.r.machines.get(name);
          if (!m) continue;
          if (m.type) this.available(m.type.name, m.zone, m.spot);
          // The cloud's 200 to a deletion: the machine and everything on it is gone.
          for (const a of [...m.attempts]) this.r.attempts.lost(a);
          this.r.machines.delete(name);
        }
        this.r.placer.requestPass();
        break;
      case "listed":
        for (const l of news.machines) this.listed(l, now);
        break;
    }
  }

  private listed(l: ListedMachine, now: number): void {
    if (this.r.removed.has(l.name)) return;
    const known = this.r.machines.get(l.name);
    const m = known ?? this.r.machine(l.name, l.zone);
    if (!known) {
      m.spot = l.spot;
      // Its age is the cloud's to tell: one that never comes up must not look young to each new leader.
      m.bornMs = now - l.ageS * 1000;
      log.info(`${l.name}: found in the cloud's list (${l.type} ${l.zone}, ${l.phase})`);
    }
    m.type ??= this.estimates.typeNamed(l.type);
    if (m.zone === "") m.zone = l.zone;
    if (m.address === "") m.address = l.address;
    if (m.state === "booting") m.spot = l.spot;
    if (l.phase === "running") m.listedUp = true;
    if (l.phase === "failed") this.remove(m, "failed");
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

  remove(m: Machine, reason: string): void {
    if (m.state === "leaving") return;
    log.info(`${m.name}: given back: ${reason}`);
    m.state = "leaving";
    this.o.cloud.tell({ kind: "remove", names: [m.name] });
  }

  rent(plan: PlacementPlan, coming: MachineView[]): void {
    if (plan.unplaced.length === 0) return;
    const now = this.o.clock.nowMs();
    if (now - this.lastWishMs < RENT_EVERY_MS) return;
    this.lastWishMs = now;
    // A task that fits nowhere first triggers a squeeze; only what still waits then rents.
    if (now - this.r.rounds.lastRoundMs > 1000) this.r.rounds.round(now);
    if (this.renting.size >= MAX_ORDERS) return;
    const refused = new Set<string>();
    for (const [key, untilMs] of this.refusedUntilMs) if (untilMs > now) refused.add(key);
    const wishes = wishToRent({
      unplaced: plan.unplaced,
      types: this.estimates.types,
      coming,
      refused: (type, zone, spot) => refused.size > 0 && refused.has(`${type} ${zone} ${spot}`),
      maxMachines: MAX_MACHINES,
      claim: (type, spot) => this.estimates.claimOn(type, spot),
    });
    for (const w of wishes) {
      // The cloud answers a few calls a second: one question at a time about each kind of machine, few under way,
      // so that what the most important work needs is never behind a queue of stale questions.
      if (this.renting.size >= MAX_ORDERS) break;
      if ([...this.renting.values()].some((o) => o.type === w.type && o.zone === w.zone && o.spot === w.spot))
        continue;
      // Made of the term and a counter, so no other node or life ever uses the name (the cloud would answer
      // it with the machines of the first use).
      const order: RentOrder = {
        ...w,
        count: Math.min(50, w.count),
        request: `t${this.r.mandate.term}-${++this.nextRequest}`,
      };
      this.renting.set(order.request, order);
      log.info(
        `renting ${order.count} ${order.type} in ${order.zone}${order.spot ? " (spot)" : ""}: ${order.request}`,
      );
      this.o.cloud.tell({ kind: "rent", order });
    }
  }
}
