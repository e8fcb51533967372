/** Handles the results of command deliveries, with or without a response from the worker. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { DeliveryResult, Heartbeat } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import type { CommandDeliveries } from "../commands/commandDeliveries.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { Attempts } from "../term/attempts.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { HeartbeatProcessor } from "./heartbeatProcessor.js";
import { abandonUnsentStarts } from "./unsentStarts.js";

/** HTTP status with which a worker rejects a whole delivery because its epoch or fencing token does not match. */
const REJECTED_STATUS = 409;

/** The parts of the term that the handling of delivery results depends on. */
export interface DeliveryResultHandlerContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  attempts: Attempts;
  deliveries: CommandDeliveries;
  heartbeats: HeartbeatProcessor;
}

/** Applies the results of command deliveries to the machines and their attempts. */
export class DeliveryResultHandler {
  constructor(private readonly context: DeliveryResultHandlerContext) {}

  /** Marks the delivery as finished and applies its result; a result of an earlier term changes nothing else. */
  handleResult(result: DeliveryResult): void {
    const { lease, machines, deliveries, heartbeats } = this.context;
    const machine = machines.get(result.machine);
    if (!machine) return;
    deliveries.markFinished(machine.name);
    // The result of a delivery that this controller sent in an earlier term of its own may arrive late.
    if (result.fencingToken < firstFencingToken(lease.term)) return;
    const raiseToken = deliveries.takePendingTokenRaise(machine.name);
    if (result.heartbeat && lease.isLoaded) {
      if (!heartbeats.detectLaterTerm(result.heartbeat))
        this.handleResponse(machine, result, result.heartbeat, raiseToken);
    } else if (result.status === null) this.handleNoResponse(machine, result.neverSent);
  }

  /** Handles each delivery that has timed out as a delivery without a response. */
  expireTimedOut(nowMs: number): void {
    const { lease, deliveries } = this.context;
    for (const machine of deliveries.timedOut(nowMs))
      this.handleResult({
        machine,
        fencingToken: firstFencingToken(lease.term),
        status: null,
        neverSent: false,
        heartbeat: null,
      });
  }

  /**
   * Applies the heartbeat in a worker's response. `raiseToken` is true if the commands that waited for this delivery need a
   * higher fencing token.
   */
  private handleResponse(
    machine: Machine,
    { status, fencingToken }: DeliveryResult,
    heartbeat: Heartbeat,
    raiseToken: boolean,
  ): void {
    const { heartbeats, deliveries } = this.context;
    const nowMs = this.context.clock.nowMs();
    const isFresh = heartbeats.apply(machine, heartbeat, nowMs);
    machine.lastContactMs = Math.max(machine.lastContactMs, nowMs);
    if (status === REJECTED_STATUS && isFresh) {
      // The worker rejected the whole delivery, so its start commands had no effect and may be sent again at once.
      for (const attempt of machine.attempts)
        if (attempt.phase === null && attempt.sentToken === fencingToken) attempt.sentMs = -Infinity;
    }
    if (isFresh) heartbeats.reconcileAndSend(machine);
    else deliveries.sendCommands(machine, raiseToken);
  }

  /**
   * Treats the machine as possibly unreachable. The leader sends the next delivery directly and, unless the last one was
   * certainly never sent, under a new fencing token that proves reachability once the worker has seen it.
   */
  private handleNoResponse(machine: Machine, neverSent: boolean): void {
    this.context.deliveries.requestDirectDelivery(machine.name);
    if (!neverSent) machine.requireNewToken(this.context.clock.nowMs());
    // A start planned on the machine in the meantime was never sent, so it can be abandoned without a proof.
    if (!machine.isReachable) abandonUnsentStarts(this.context.attempts, machine, Infinity);
  }
}
