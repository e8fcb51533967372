/** What the leader concludes from a delivery of commands: with the worker's response, or without one. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { DeliveryResult, Heartbeat } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandDeliveries } from "../commands/commandDeliveries.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { Attempts } from "../term/attempts.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { HeartbeatProcessor } from "./heartbeatProcessor.js";
import { giveUpUnsentStarts } from "./unsentStarts.js";

/** With this status a worker refuses a whole delivery: its epoch or fencing token does not match. */
const STATUS_REFUSED = 409;

/** What the handling of deliveries' results uses of the term. */
export interface DeliveryResultsContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  attempts: Attempts;
  deliveries: CommandDeliveries;
  heartbeats: HeartbeatProcessor;
}

/** Applies what became of the deliveries of commands to the machines and their attempts. */
export class DeliveryResults {
  constructor(private readonly context: DeliveryResultsContext) {}

  /** A delivery has its result; results of earlier terms are ignored. */
  receive(result: DeliveryResult): void {
    const { lease, machines, deliveries, heartbeats } = this.context;
    const machine = machines.get(result.machine);
    if (!machine) return;
    deliveries.markFinished(machine.name);
    // The result of a delivery in an earlier term of ours may come late.
    if (result.fencingToken < firstFencingToken(lease.term)) return;
    const raiseToken = deliveries.takeRaiseNext(machine.name);
    if (result.heartbeat && lease.isLoaded) {
      if (!heartbeats.isOfLaterTerm(result.heartbeat))
        this.receiveResponse(machine, result, result.heartbeat, raiseToken);
    } else if (result.status === null) this.handleNoResponse(machine, result.neverSent);
  }

  /** Deliveries that have had no result for too long count as ones without a response. */
  expire(nowMs: number): void {
    const { lease, deliveries } = this.context;
    for (const machine of deliveries.timedOut(nowMs))
      this.receive({
        machine,
        fencingToken: firstFencingToken(lease.term),
        status: null,
        neverSent: false,
        heartbeat: null,
      });
  }

  /** A worker's response holds a heartbeat; `raiseToken`: commands that had to wait need a higher fencing token. */
  private receiveResponse(
    machine: Machine,
    { status, fencingToken }: DeliveryResult,
    heartbeat: Heartbeat,
    raiseToken: boolean,
  ): void {
    const { heartbeats, deliveries } = this.context;
    const nowMs = this.context.clock.nowMs();
    const isFresh = heartbeats.apply(machine, heartbeat, nowMs);
    machine.lastContactMs = Math.max(machine.lastContactMs, nowMs);
    if (status === STATUS_REFUSED && isFresh) {
      // Refused whole: its start commands had no effect, so they may be sent again at once.
      for (const attempt of machine.attempts)
        if (attempt.phase === null && attempt.sentToken === fencingToken) attempt.sentMs = -Infinity;
    }
    if (isFresh) heartbeats.reconcileAndSend(machine);
    else deliveries.sendCommands(machine, raiseToken);
  }

  /** The machine may not be reachable. The next delivery goes another way, under a token that proves that it is. */
  private handleNoResponse(machine: Machine, neverSent: boolean): void {
    this.context.deliveries.sendNextDirectly(machine.name);
    if (!neverSent) machine.requireNewToken(this.context.clock.nowMs());
    // A start that was planned there in the meantime was never sent: no proof is needed to give it up.
    if (!machine.isReachable) giveUpUnsentStarts(this.context.attempts, machine, Infinity);
  }
}
