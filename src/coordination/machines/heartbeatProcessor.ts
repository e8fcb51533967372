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
import type { Cordon } from "./cordon.js";
import type { Reconciliation } from "./reconciliation.js";

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
    // The answer it has just been given carries our token, and its next heartbeat shows it: no need to ask at once.
    if (machine.heartbeatTick === 0) machine.lastProbeMs = nowMs + this.context.heartbeatS * 1500 - PROBE_MS;
    const isFirst = machine.state === "booting" && heartbeat.epoch === 1 && heartbeat.tick === 1;
    const fresh = this.apply(machine, heartbeat, nowMs);
    noteAcknowledged(machine, heartbeat, server, nowMs, nowMs - ageMs);
    // A machine that we have waited for, and its very first heartbeat: nothing older can be on its way.
    if (isFirst && machine.createdMs >= lease.startedMs) machine.requiredToken = 0;
    if (lease.isLoaded && fresh) this.reconcileAndSend(machine);
  }

  /** A heartbeat that says nothing new; false when it is of an epoch that is not known here, so that it must be sent in full. */
  receiveUnchanged(heartbeat: UnchangedHeartbeat, server: string, nowMs: number): boolean {
    const { machines } = this.context;
    const machine = machines.get(heartbeat.machine);
    if (!machine || machine.epoch !== heartbeat.epoch) return machines.isRemoved(heartbeat.machine);
    noteAcknowledged(machine, heartbeat, server, nowMs, nowMs);
    return true;
  }

  /** True when the worker has seen a later term's fencing token; then this leader is deposed. */
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

  /** Takes over what a heartbeat says of the machine itself; false when a newer one is known. */
  apply(machine: Machine, heartbeat: Heartbeat, nowMs: number): boolean {
    const isOlder =
      heartbeat.epoch < machine.epoch ||
      (heartbeat.epoch === machine.epoch && heartbeat.tick <= machine.tick);
    if (isOlder) return false;
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
    // Its idle time begins when it can be used (again): neither its boot nor its silence counts.
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
    // Its heartbeats arrive, and its lease expired all the same: perhaps our answers don't reach it.
    machine.requireNewToken(nowMs);
  }
  // An epoch's lease runs from its beginning, also when none of its heartbeats was answered yet. Counted from an older
  // answer, a task started in the new epoch looked gone while it ran (rule `ran_twice`, docs/incidents/overload.md).
  machine.lastAcknowledgedMs = Math.max(machine.lastAcknowledgedMs, nowMs);
  machine.epoch = epoch;
}

/** A heartbeat of the machine was acknowledged. An older one, or a copy, renews nothing and proves nothing. */
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
  // It was acknowledged before now, and what it answers was sent before that.
  machine.lastAcknowledgedMs = nowMs;
  machine.lastContactMs = Math.max(machine.lastContactMs, receivedMs);
  machine.lastHeartbeatMs = Math.max(machine.lastHeartbeatMs, receivedMs);
  machine.heartbeatServer = server;
  // `machine.tick` stays: it is that of the tasks that are known. Raised by a heartbeat without news, it made the one that
  // had been lost on the way look old when it was sent again, and its jobs were never done.
}
