/** What a worker's heartbeat changes on the leader's picture of its machine. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { Heartbeat, ReceivedHeartbeat, UnchangedHeartbeat } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import { PROBE_MS } from "../commands/commandDeliveries.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { CommandQueue } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { isLateCopy } from "../heartbeats/heartbeatComparison.js";
import type { Cordon } from "./cordon.js";
import type { Reconciliation } from "./reconciliation.js";

/** A machine's first heartbeat has shown our token after so many of its intervals; only then it is probed. */
const FIRST_PROBE_AFTER_HEARTBEATS = 1.5;
/** Epoch and tick of the first heartbeat that a machine's worker ever sends. */
const FIRST_EPOCH = 1;
const FIRST_TICK = 1;

/** What the processing of heartbeats uses of the term. */
export interface HeartbeatProcessorContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  commands: CommandQueue;
  cycles: CycleRequests;
  estimates: Estimates;
  cordon: Cordon;
  reconciliation: Reconciliation;
  /** Workers' time between heartbeats, in seconds. */
  heartbeatS: number;
  /** Seconds of silence after which nothing new is placed on a machine. */
  suspectS: number;
  /** A worker has seen the fencing token of a later term. */
  onDeposed: (term: number) => void;
}

/** Owns the state transitions that a machine's heartbeats cause, and begins the reconciliation that follows. */
export class HeartbeatProcessor {
  constructor(private readonly context: HeartbeatProcessorContext) {}

  /** A heartbeat in full that the controller `server` has acknowledged. */
  receive({ heartbeat, ageMs }: ReceivedHeartbeat, server: string, nowMs: number): void {
    if (this.isOfLaterTerm(heartbeat)) return;
    const { lease, machines } = this.context;
    if (machines.isRemoved(heartbeat.machine)) return;
    const machine = machines.getOrCreate(heartbeat.machine, heartbeat.zone);
    // The response to it carried our token, and its next heartbeat shows that: no need to probe it at once.
    if (machine.heartbeatTick === 0) {
      const firstProbeMs = FIRST_PROBE_AFTER_HEARTBEATS * 1000 * this.context.heartbeatS;
      machine.lastProbeMs = nowMs + firstProbeMs - PROBE_MS;
    }
    const isVeryFirst =
      machine.state === "booting" && heartbeat.epoch === FIRST_EPOCH && heartbeat.tick === FIRST_TICK;
    const isFresh = this.apply(machine, heartbeat, nowMs);
    noteAcknowledged(machine, heartbeat, server, nowMs, nowMs - ageMs);
    // The machine was created in this term, so no copy of an older heartbeat can be under way: it proves itself reachable.
    if (isVeryFirst && machine.createdMs >= lease.startedMs) machine.requiredToken = 0;
    if (lease.isLoaded && isFresh) this.reconcileAndSend(machine);
  }

  /** A heartbeat that says nothing new; false: its epoch is not known here, so that it has to be sent in full. */
  receiveUnchanged(heartbeat: UnchangedHeartbeat, server: string, nowMs: number): boolean {
    const { machines } = this.context;
    const machine = machines.get(heartbeat.machine);
    if (!machine || machine.epoch !== heartbeat.epoch) return machines.isRemoved(heartbeat.machine);
    noteAcknowledged(machine, heartbeat, server, nowMs, nowMs);
    return true;
  }

  /** Has the worker seen a later term's fencing token? Then this leader is deposed, which is announced here. */
  isOfLaterTerm(heartbeat: Heartbeat): boolean {
    const { term } = this.context.lease;
    if (heartbeat.fencingToken < firstFencingToken(term + 1)) return false;
    this.context.onDeposed(term);
    return true;
  }

  /** Reconciles a machine after a fresh heartbeat, and sends what is due. */
  reconcileAndSend(machine: Machine): void {
    const raiseToken = this.context.reconciliation.reconcile(machine);
    if (machine.hasNewInterruptionNotice) {
      machine.hasNewInterruptionNotice = false;
      this.context.cordon.drainBeforeInterruption(machine);
    }
    this.context.commands.sendCommands(machine, raiseToken);
  }

  /** Applies what a heartbeat, or a worker's response to commands, says of the machine itself; false: a newer one is known. */
  apply(machine: Machine, heartbeat: Heartbeat, nowMs: number): boolean {
    if (isLateCopy(machine, heartbeat)) return false;
    if (heartbeat.epoch > machine.epoch) beginEpoch(machine, heartbeat.epoch, nowMs);
    machine.tick = heartbeat.tick;
    machine.seenToken = heartbeat.fencingToken;
    machine.address = heartbeat.address;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    machine.type = this.context.estimates.typeNamed(heartbeat.type) ?? machine.type;
    machine.listedTasks = heartbeat.tasks;
    const wasUnusable =
      machine.state === "booting" || nowMs - machine.lastContactMs > this.context.suspectS * 1000;
    // Its idle time begins when it can be used (again): neither its boot nor its silence counts as idle.
    if (machine.attempts.size === 0 && wasUnusable) machine.idleSinceMs = nowMs;
    if (machine.state === "booting") this.markUp(machine, heartbeat.type, nowMs);
    if (heartbeat.interruptionNoticeS !== null)
      this.noteInterruption(machine, heartbeat.interruptionNoticeS, nowMs);
    return true;
  }

  private markUp(machine: Machine, type: string, nowMs: number): void {
    machine.state = "up";
    const bootS = ((nowMs - machine.createdMs) / 1000).toFixed(1);
    log.info(`${machine.name}: up after ${bootS} s (${type} ${machine.zone}${machine.spot ? " spot" : ""})`);
    this.context.cycles.requestCycle();
  }

  private noteInterruption(machine: Machine, noticeS: number, nowMs: number): void {
    if (machine.interruptionAtMs === null) {
      machine.hasNewInterruptionNotice = true;
      this.context.estimates.recordSpotInterruption();
      log.info(`${machine.name}: will be taken in ${noticeS.toFixed(1)} s`);
    }
    machine.interruptionAtMs = nowMs + noticeS * 1000;
  }
}

/** The worker began a new epoch: its earlier tasks are gone. */
function beginEpoch(machine: Machine, epoch: number, nowMs: number): void {
  if (machine.epoch > 0) {
    log.info(`${machine.name}: epoch ${epoch}, its tasks are gone`);
    // Its heartbeats arrive, and its lease expired all the same: perhaps our responses don't reach it.
    machine.requireNewToken(nowMs);
  }
  // An epoch's lease runs from its beginning, also when none of its heartbeats was acknowledged yet. Counted from an older
  // acknowledgement, a task of the new epoch looked gone while it ran (rule `ran_twice`, docs/incidents/overload.md).
  machine.lastAcknowledgedMs = Math.max(machine.lastAcknowledgedMs, nowMs);
  machine.epoch = epoch;
}

/** A controller has acknowledged that heartbeat. An older one, or a copy, renews no lease. */
function noteAcknowledged(
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
  // It was acknowledged before now: taken for now, no lease is counted too short.
  machine.lastAcknowledgedMs = nowMs;
  machine.lastContactMs = Math.max(machine.lastContactMs, receivedMs);
  machine.lastHeartbeatMs = Math.max(machine.lastHeartbeatMs, receivedMs);
  machine.heartbeatServer = server;
  // `machine.tick` stays: it belongs to the listed tasks that are known. Raised by an unchanged heartbeat, it made the one
  // that had been lost on its way look old when it was sent again, and its jobs were never done.
}
