/** Schedules the leader's command deliveries: one at a time to each machine, with retries and reachability probes. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { CommandDelivery } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandQueue } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { composeCommandBatch, type CommandBatch } from "./commandBatch.js";

/** Interval between deliveries that probe whether a machine is reachable; a probe may carry no commands. */
export const PROBE_INTERVAL_MS = 1500;
/** Minimum interval between deliveries that contain only reaps. */
export const REAP_INTERVAL_MS = 3000;
/** Time after which a delivery without a result is abandoned: the controller that relays it may have failed. */
const DELIVERY_TIMEOUT_MS = 4500;

/** The parts of the term that command deliveries depend on. */
export interface CommandDeliveriesContext {
  clock: Clock;
  lease: TermLease;
  jobs: JobRegistry;
  /** Sends a delivery through the controller `via`, or directly to the worker if `via` is null. */
  deliver: (term: number, via: string | null, delivery: CommandDelivery) => void;
}

/** Owns the command deliveries in flight. Each machine has at most one; the next is sent after its result. */
export class CommandDeliveries implements CommandQueue {
  /** Steady time, in milliseconds, at which the delivery in flight to each machine was sent, by machine name. */
  private readonly inFlightSinceMs = new Map<string, number>();
  /** Machines whose next delivery, after the one in flight, needs a higher fencing token. */
  private readonly tokenRaisePending = new Set<string>();
  /** Machines whose last delivery got no response; the leader sends the next one directly. */
  private readonly directDeliveryPending = new Set<string>();

  constructor(private readonly context: CommandDeliveriesContext) {}

  /** True if a delivery to the machine is in flight, for which the next one has to wait. */
  isInFlight(machine: string): boolean {
    return this.inFlightSinceMs.has(machine);
  }

  /**
   * Sends the machine's due commands, or a due probe, unless a delivery is in flight. With `raiseToken`, this or the next
   * delivery uses a higher fencing token.
   */
  sendCommands(machine: Machine, raiseToken = false): void {
    if (machine.state !== "up" || machine.address === "") return;
    if (this.inFlightSinceMs.has(machine.name)) {
      if (raiseToken) this.tokenRaisePending.add(machine.name);
      return;
    }
    const { clock, lease, jobs } = this.context;
    const nowMs = clock.nowMs();
    if (!lease.isLoaded || nowMs >= lease.acknowledgeUntilMs) return;
    const starts = lease.mayWrite() && machine.isReachable;
    const batch = composeCommandBatch(machine, jobs.byId, nowMs, { includeStarts: starts, raiseToken });
    const isProbeDue = !machine.isReachable && nowMs - machine.lastProbeMs > PROBE_INTERVAL_MS;
    if (!raiseToken && !isProbeDue && !isWorthSending(batch, machine, nowMs)) return;
    machine.lastProbeMs = nowMs;
    this.send(machine, batch, nowMs);
  }

  private send(machine: Machine, batch: CommandBatch, nowMs: number): void {
    this.inFlightSinceMs.set(machine.name, nowMs);
    const via = this.directDeliveryPending.delete(machine.name) ? null : machine.heartbeatServer;
    this.context.deliver(this.context.lease.term, via, {
      machine: machine.name,
      address: machine.address,
      fencingToken: batch.fencingToken,
      epoch: machine.epoch,
      commands: batch.commands,
    });
  }

  /** Records that the delivery to the machine has a result or has been abandoned. */
  markFinished(machine: string): void {
    this.inFlightSinceMs.delete(machine);
  }

  /**
   * Returns whether commands that waited for the last delivery need a higher fencing token, and clears that request. Called
   * once after each delivery.
   */
  takePendingTokenRaise(machine: string): boolean {
    return this.tokenRaisePending.delete(machine);
  }

  /** Makes the machine's next delivery go directly to its worker, because the last one got no response. */
  requestDirectDelivery(machine: string): void {
    this.directDeliveryPending.add(machine);
  }

  /** Returns the names of the machines whose delivery in flight has timed out. */
  timedOut(nowMs: number): string[] {
    const machines: string[] = [];
    for (const [name, sinceMs] of this.inFlightSinceMs)
      if (nowMs - sinceMs >= DELIVERY_TIMEOUT_MS) machines.push(name);
    return machines;
  }
}

/** False for a batch that is empty, or that contains only reaps and can wait to be sent with later commands. */
function isWorthSending(batch: CommandBatch, machine: Machine, nowMs: number): boolean {
  if (batch.commands.length === 0) return false;
  return (
    nowMs - machine.lastProbeMs >= REAP_INTERVAL_MS || batch.commands.some((command) => command.op !== "reap")
  );
}
