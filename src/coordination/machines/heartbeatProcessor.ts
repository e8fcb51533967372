/** Applies workers' heartbeats to the leader's state of their machines. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { Heartbeat, ReceivedHeartbeat, UnchangedHeartbeat } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import { log, quoteName } from "../../transport/log.js";
import { PROBE_INTERVAL_MS } from "../commands/commandDeliveries.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { CommandQueue } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { isStaleOrDuplicate } from "../heartbeats/heartbeatComparison.js";
import type { Cordon } from "./cordon.js";
import type { Reconciliation } from "./reconciliation.js";

/**
 * Heartbeat intervals from a machine's first heartbeat until its first probe. The response to the first heartbeat carries
 * the leader's fencing token, and the next heartbeat shows it, so an earlier probe is not needed.
 */
const FIRST_PROBE_DELAY_INTERVALS = 1.5;
/** Epoch and tick of the first heartbeat that a worker sends after its machine was created. */
const FIRST_EPOCH = 1;
const FIRST_TICK = 1;

/** The parts of the term that heartbeat processing depends on. */
export interface HeartbeatProcessorContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  commands: CommandQueue;
  cycles: CycleRequests;
  estimates: Estimates;
  cordon: Cordon;
  reconciliation: Reconciliation;
  /** Interval between a worker's heartbeats, in seconds. */
  heartbeatS: number;
  /** Silence after which no new work is placed on a machine, in seconds. */
  suspectS: number;
  /** Called with this leader's term when a worker has seen the fencing token of a later term. */
  onDeposed: (term: number) => void;
}

/** Owns the state transitions that a machine's heartbeats cause, and triggers the reconciliation that follows them. */
export class HeartbeatProcessor {
  constructor(private readonly context: HeartbeatProcessorContext) {}

  /** Processes a full heartbeat that the controller `server` has acknowledged. */
  receive({ heartbeat, ageMs }: ReceivedHeartbeat, server: string, nowMs: number): void {
    if (this.detectLaterTerm(heartbeat)) return;
    const { lease, machines } = this.context;
    if (machines.isRemoved(heartbeat.machine)) return;
    const machine = machines.getOrCreate(heartbeat.machine, heartbeat.zone);
    // The response to the first heartbeat carried this leader's token, which the next heartbeat shows: the probe can wait.
    if (machine.heartbeatTick === 0) {
      const firstProbeMs = FIRST_PROBE_DELAY_INTERVALS * 1000 * this.context.heartbeatS;
      machine.lastProbeMs = nowMs + firstProbeMs - PROBE_INTERVAL_MS;
    }
    const isFirstEverHeartbeat =
      machine.state === "booting" && heartbeat.epoch === FIRST_EPOCH && heartbeat.tick === FIRST_TICK;
    const isFresh = this.apply(machine, heartbeat, nowMs);
    recordAcknowledgement(machine, heartbeat, server, nowMs, nowMs - ageMs);
    // The machine was created in this term, so no older heartbeat can be in flight, and this one proves it reachable.
    if (isFirstEverHeartbeat && machine.createdMs >= lease.startedMs) machine.requiredToken = 0;
    if (lease.isLoaded && isFresh) this.reconcileAndSend(machine);
  }

  /**
   * Processes a heartbeat whose content is unchanged. Returns false if the leader does not know its epoch, so that the
   * heartbeat has to be sent in full.
   */
  receiveUnchanged(heartbeat: UnchangedHeartbeat, server: string, nowMs: number): boolean {
    const { machines } = this.context;
    const machine = machines.get(heartbeat.machine);
    if (!machine || machine.epoch !== heartbeat.epoch) return machines.isRemoved(heartbeat.machine);
    recordAcknowledgement(machine, heartbeat, server, nowMs, nowMs);
    return true;
  }

  /**
   * Returns true, and calls `onDeposed`, if the worker has seen a later term's fencing token: another leader has taken
   * over.
   */
  detectLaterTerm(heartbeat: Heartbeat): boolean {
    const { term } = this.context.lease;
    if (heartbeat.fencingToken < firstFencingToken(term + 1)) return false;
    this.context.onDeposed(term);
    return true;
  }

  /** Reconciles a machine after a fresh heartbeat, and sends the commands that are due. */
  reconcileAndSend(machine: Machine): void {
    const raiseToken = this.context.reconciliation.reconcile(machine);
    if (machine.hasNewInterruptionNotice) {
      machine.hasNewInterruptionNotice = false;
      this.context.cordon.drainBeforeInterruption(machine);
    }
    this.context.commands.sendCommands(machine, raiseToken);
  }

  /**
   * Applies the machine state in a heartbeat or in a worker's response to commands. Returns false, without a change, unless
   * it is newer than the last one applied.
   */
  apply(machine: Machine, heartbeat: Heartbeat, nowMs: number): boolean {
    if (isStaleOrDuplicate(machine, heartbeat)) return false;
    if (heartbeat.epoch > machine.epoch) beginEpoch(machine, heartbeat.epoch, nowMs);
    machine.tick = heartbeat.tick;
    machine.seenToken = heartbeat.fencingToken;
    machine.address = heartbeat.address;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    machine.type = this.context.estimates.findType(heartbeat.type) ?? machine.type;
    machine.reportedTasks = heartbeat.tasks;
    const wasUnusable =
      machine.state === "booting" || nowMs - machine.lastContactMs > this.context.suspectS * 1000;
    // The idle time starts when the machine becomes usable; time spent booting or silent does not count as idle.
    if (machine.attempts.size === 0 && wasUnusable) machine.idleSinceMs = nowMs;
    if (machine.state === "booting") this.markUp(machine, heartbeat.type, nowMs);
    if (heartbeat.interruptionNoticeS !== null)
      this.recordInterruptionNotice(machine, heartbeat.interruptionNoticeS, nowMs);
    return true;
  }

  private markUp(machine: Machine, type: string, nowMs: number): void {
    machine.state = "up";
    const bootS = ((nowMs - machine.createdMs) / 1000).toFixed(1);
    log.info(
      `${quoteName(machine.name)}: up after ${bootS} s (${quoteName(type)} ${quoteName(machine.zone)}${machine.spot ? " spot" : ""})`,
    );
    this.context.cycles.requestCycle();
  }

  private recordInterruptionNotice(machine: Machine, noticeS: number, nowMs: number): void {
    if (machine.interruptionAtMs === null) {
      machine.hasNewInterruptionNotice = true;
      this.context.estimates.recordSpotInterruption();
      log.info(`${quoteName(machine.name)}: spot interruption in ${noticeS.toFixed(1)} s`);
    }
    machine.interruptionAtMs = nowMs + noticeS * 1000;
  }
}

/** Records that the worker has started a new epoch, in which the tasks of its earlier epochs are gone. */
function beginEpoch(machine: Machine, epoch: number, nowMs: number): void {
  if (machine.epoch > 0) {
    log.info(`${quoteName(machine.name)}: worker started epoch ${epoch}, tasks of earlier epochs are gone`);
    // The worker's lease expired although its heartbeats arrive, so the responses may not be reaching the worker.
    machine.requireNewToken(nowMs);
  }
  // The lease of an epoch runs from the start of the epoch, even before the first of its heartbeats is acknowledged. Lease
  // expiry measured from an older acknowledgement would declare a running task of the new epoch gone (rule `ran_twice`,
  // docs/incidents/overload.md).
  machine.lastAcknowledgedMs = Math.max(machine.lastAcknowledgedMs, nowMs);
  machine.epoch = epoch;
}

/** Records that a controller has acknowledged the heartbeat. An older heartbeat or a copy does not renew the lease. */
function recordAcknowledgement(
  machine: Machine,
  heartbeat: { epoch: number; tick: number },
  server: string,
  nowMs: number,
  receivedMs: number,
): void {
  const { epoch, tick } = heartbeat;
  if (epoch < machine.heartbeatEpoch) return;
  if (epoch === machine.heartbeatEpoch && tick <= machine.heartbeatTick) return;
  machine.heartbeatEpoch = epoch;
  machine.heartbeatTick = tick;
  // The controller acknowledged the heartbeat earlier; using the current time never makes the lease look too short.
  machine.lastAcknowledgedMs = nowMs;
  machine.lastContactMs = Math.max(machine.lastContactMs, receivedMs);
  machine.lastHeartbeatMs = Math.max(machine.lastHeartbeatMs, receivedMs);
  machine.heartbeatServer = server;
  // `machine.tick` is not updated because it belongs to the known task list. If an unchanged heartbeat raised it, a full
  // heartbeat that was lost in transit would look stale when sent again, and its jobs would never be marked as done.
}
