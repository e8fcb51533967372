/** The leader's side of commands: which machine is sent a batch now, which has to wait, and which got no response. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { CommandDelivery } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandQueue } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { composeCommandBatch, type CommandBatch } from "./commandBatch.js";

/** A machine that has to show that it is reachable is sent a delivery this often, with commands or without. */
export const PROBE_MS = 1500;
/** Exited tasks are reaped this often at the most, unless there is more to send. */
export const REAP_MS = 3000;
/** A delivery without a result is given up after this: the controller that carries it may be gone. */
const DELIVERY_TIMEOUT_MS = 4500;

/** What the deliveries use of the term. */
export interface CommandDeliveriesContext {
  clock: Clock;
  lease: TermLease;
  jobs: JobRegistry;
  /** Has commands carried by the controller `via`, or from here (null). */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
}

/** Owns the deliveries of commands under way: one at a time to each machine, the next one after its result. */
export class CommandDeliveries implements CommandQueue {
  /** Machines with a delivery under way, and since when. */
  private readonly underWay = new Map<string, number>();
  /** Machines whose next commands, after the delivery under way, need a higher fencing token. */
  private readonly raiseNext = new Set<string>();
  /** Machines whose last delivery got no response: the next one goes from here. */
  private readonly directNext = new Set<string>();

  constructor(private readonly context: CommandDeliveriesContext) {}

  /** Is a delivery to that machine under way? Another one has to wait for it. */
  isUnderWay(machine: string): boolean {
    return this.underWay.has(machine);
  }

  /** Sends the commands that are due, unless a delivery is under way; with `raiseToken` under a higher fencing token. */
  sendCommands(machine: Machine, raiseToken = false): void {
    if (machine.state !== "up" || machine.address === "") return;
    if (this.underWay.has(machine.name)) {
      if (raiseToken) this.raiseNext.add(machine.name);
      return;
    }
    const { clock, lease, jobs } = this.context;
    const nowMs = clock.nowMs();
    if (!lease.isLoaded || nowMs >= lease.acknowledgeUntilMs) return;
    const starts = lease.mayWrite() && machine.isReachable;
    const batch = composeCommandBatch(machine, jobs.byId, nowMs, { starts, raise: raiseToken });
    const isProbeDue = !machine.isReachable && nowMs - machine.lastProbeMs > PROBE_MS;
    if (!raiseToken && !isProbeDue && !isWorthSending(batch, machine, nowMs)) return;
    machine.lastProbeMs = nowMs;
    this.send(machine, batch, nowMs);
  }

  private send(machine: Machine, batch: CommandBatch, nowMs: number): void {
    this.underWay.set(machine.name, nowMs);
    const via = this.directNext.delete(machine.name) ? null : machine.heartbeatServer;
    this.context.deliver(this.context.lease.term, via, {
      machine: machine.name,
      address: machine.address,
      fencingToken: batch.token,
      epoch: machine.epoch,
      commands: batch.commands,
    });
  }

  /** The delivery to that machine has its result, or is given up. */
  markFinished(machine: string): void {
    this.underWay.delete(machine);
  }

  /** Do commands that had to wait for the last delivery need a higher fencing token? Asked once after each. */
  takeRaiseNext(machine: string): boolean {
    return this.raiseNext.delete(machine);
  }

  /** The last delivery got no response: the next one goes from here, not through another controller. */
  sendNextDirectly(machine: string): void {
    this.directNext.add(machine);
  }

  /** Machines whose delivery has been under way for too long. */
  timedOut(nowMs: number): string[] {
    const machines: string[] = [];
    for (const [name, sinceMs] of this.underWay)
      if (nowMs - sinceMs >= DELIVERY_TIMEOUT_MS) machines.push(name);
    return machines;
  }
}

/** Exited tasks can be reaped together with what comes later. */
function isWorthSending(batch: CommandBatch, machine: Machine, nowMs: number): boolean {
  if (batch.commands.length === 0) return false;
  return nowMs - machine.lastProbeMs >= REAP_MS || batch.commands.some((command) => command.op !== "reap");
}
