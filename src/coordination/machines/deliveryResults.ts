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

/** A worker refuses a whole delivery whose epoch or fencing token does not match with this status. */
const REFUSED_STATUS = 409;

/** What the handling of deliveries' results uses of the term. */
export interface DeliveryResultsContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  attempts: Attempts;
  deliveries: CommandDeliveries;
  heartbeats: HeartbeatProcessor;
}

/** Draws the conclusions from what became of a delivery of commands. */
export class DeliveryResults {
  constructor(private readonly context: DeliveryResultsContext) {}

  /** A delivery is back, with the worker's answer or without one. */
  receive(result: DeliveryResult): void {
    const { lease, machines, deliveries, heartbeats } = this.context;
    const machine = machines.get(result.machine);
    if (!machine) return;
    deliveries.markFinished(machine.name);
    // A delivery of an earlier term of ours may come back late: its token tells.
    if (result.fencingToken < firstFencingToken(lease.term)) return;
    const raiseToken = deliveries.takeWaiting(machine.name);
    if (result.heartbeat && lease.isLoaded) {
      if (!heartbeats.isOfLaterTerm(result.heartbeat))
        this.answered(machine, result, result.heartbeat, raiseToken);
    } else if (result.status === null) this.unanswered(machine, result.neverSent);
  }

  /** Deliveries that another controller carries and that have not come back count as unanswered. */
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

  private answered(
    machine: Machine,
    { status, fencingToken }: DeliveryResult,
    heartbeat: Heartbeat,
    raiseToken: boolean | undefined,
  ): void {
    const { heartbeats, deliveries } = this.context;
    const nowMs = this.context.clock.nowMs();
    const fresh = heartbeats.apply(machine, heartbeat, nowMs);
    machine.lastContactMs = Math.max(machine.lastContactMs, nowMs);
    if (status === REFUSED_STATUS && fresh) {
      // Refused whole: the starts in it were not carried out, so they may go again at once.
      for (const attempt of machine.attempts)
        if (attempt.phase === null && attempt.sentToken === fencingToken) attempt.sentMs = -Infinity;
    }
    if (fresh) heartbeats.reconcileAndSend(machine);
    else deliveries.sendCommands(machine, raiseToken);
  }

  /** It may not be reachable. The next delivery goes another way, under a token that proves that it is. */
  private unanswered(machine: Machine, neverSent: boolean): void {
    this.context.deliveries.sendNextDirectly(machine.name);
    if (!neverSent) machine.requireNewToken(this.context.clock.nowMs());
    // What was planned there in the meantime was never sent: it need not wait for any proof.
    if (!machine.isReachable) giveUpUnsentStarts(this.context.attempts, machine, Infinity);
  }
}
