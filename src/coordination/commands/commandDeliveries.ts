import type { Machine } from "../../bookkeeping/workload.js";
import type { CommandDelivery } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandQueue } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { composeCommandBatch, type CommandBatch } from "./commandBatch.js";

/** A machine that has to show that it is reachable is asked this often. */
export const PROBE_MS = 1500;
/** Ended tasks are reaped this often at the most, unless there is more to send. */
export const REAP_MS = 3000;
/** A delivery that another controller carries is given up after this. */
const DELIVERY_TIMEOUT_MS = 4500;

/** What the deliveries use of the term. */
export interface CommandDeliveriesContext {
  clock: Clock;
  lease: TermLease;
  jobs: JobRegistry;
  /** Has commands carried by the controller `via`, or from here (null). */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
}

/** Owns the deliveries of commands under way: one at a time to each machine, the next when that one is back. */
export class CommandDeliveries implements CommandQueue {
  /** Machines with a delivery under way, and since when. */
  private readonly underWay = new Map<string, number>();
  /** Machines with more to be sent once their delivery is back; true: under a higher fencing token. */
  private readonly waiting = new Map<string, boolean>();
  /** Machines whose last delivery got no answer: the next one goes from here. */
  private readonly directNext = new Set<string>();

  constructor(private readonly context: CommandDeliveriesContext) {}

  isUnderWay(machine: string): boolean {
    return this.underWay.has(machine);
  }

  sendCommands(machine: Machine, raiseToken = false): void {
    if (machine.state !== "up" || machine.address === "") return;
    if (this.underWay.has(machine.name)) {
      this.waiting.set(machine.name, raiseToken || this.waiting.get(machine.name) === true);
      return;
    }
    const { clock, lease, jobs } = this.context;
    const nowMs = clock.nowMs();
    if (!lease.isLoaded || nowMs >= lease.acknowledgeUntilMs) return;
    const starts = lease.mayWrite() && machine.isReachable;
    const batch = composeCommandBatch(machine, jobs.byId, nowMs, { starts, raise: raiseToken });
    const probe = !machine.isReachable && nowMs - machine.lastProbeMs > PROBE_MS;
    if (!raiseToken && !probe && !isWorthSending(batch, machine, nowMs)) return;
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

  /** The delivery to that machine is back, or given up. */
  markFinished(machine: string): void {
    this.underWay.delete(machine);
  }

  /** Whether more was to be sent meanwhile, and if so whether under a higher fencing token; undefined: nothing was. */
  takeWaiting(machine: string): boolean | undefined {
    const raiseToken = this.waiting.get(machine);
    this.waiting.delete(machine);
    return raiseToken;
  }

  /** The controller that carried the last delivery brought no answer: the next one goes from here. */
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

/** Ended tasks can be reaped together with what comes later. */
function isWorthSending(batch: CommandBatch, machine: Machine, nowMs: number): boolean {
  if (batch.commands.length === 0) return false;
  return nowMs - machine.lastProbeMs >= REAP_MS || batch.commands.some((command) => command.op !== "reap");
}
