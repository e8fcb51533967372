import type { Attempt } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import type { Operator } from "../../settings/operator.js";
import type { Clock } from "../../transport/clock.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { allowsPlacement, zoneRoom } from "../scheduling/fitting.js";
import { planOffloads, type MeasuredMachine } from "./offloading.js";
import { loadOf, loadLevelOf } from "./machineLoad.js";
import { planMerges, type LoadedTask, type Move } from "./machineMerging.js";

/** What the rounds use of the term. */
export interface ConsolidationRoundsContext {
  clock: Clock;
  lease: TermLease;
  jobs: JobRegistry;
  machines: MachineRegistry;
  attempts: Attempts;
  writes: WriteRequests;
  operator: Operator;
  /** Workers' time between heartbeats, in seconds. */
  heartbeatS: number;
}

/** Owns the rounds of consolidation: their moves from the decision, through the write, to the stops. */
export class ConsolidationRounds {
  plannedMoves: Move[] | null = null;
  private attemptsToMove = new Map<number, Attempt>();
  lastRoundMs: number;
  readonly preferredMachines = new Map<string, { machine: string; untilMs: number }>();

  constructor(private readonly context: ConsolidationRoundsContext) {
    this.lastRoundMs = context.clock.nowMs();
  }

  /** The job is over: no move of it is wanted any longer. */
  forgetJob(id: string): void {
    this.preferredMachines.delete(id);
  }

  runRound(now: number): void {
    this.lastRoundMs = now;
    if (this.plannedMoves || now - this.context.lease.startedMs < 2 * this.context.heartbeatS * 1000) return;
    const { highLoadShare, overloadShare, maxMovesPerRound, roundIntervalS } = this.context.operator;
    const refs: Attempt[] = [];
    const machines: MeasuredMachine[] = [];
    for (const machine of this.context.machines.values()) {
      if (machine.state !== "up" || !machine.type) continue;
      const requestedLoad = loadOf(machine.used, machine.type);
      // Most machines are in the inner rings and use what they were asked to: neither squeeze nor release looks there.
      if (
        loadLevelOf(requestedLoad, highLoadShare) !== "low" &&
        machine.listedTasks.length <= machine.attempts.size
      )
        continue;
      // A late report would move tasks that have already left.
      const fresh = now - machine.lastContactMs < this.context.heartbeatS * 1500;
      const tasks: LoadedTask[] = [];
      let whole = fresh;
      const measuredUse = { cpus: 0, gpus: 0, memoryGb: 0 };
      for (const task of machine.listedTasks) {
        const spec = this.context.jobs.get(task.jobId)?.spec;
        if (task.phase === "exited" || !spec) continue;
        measuredUse.cpus += spec.cpus;
        measuredUse.gpus += spec.gpus;
        measuredUse.memoryGb += spec.memoryGb;
      }
      for (const attempt of machine.attempts) {
        const { spec } = attempt.job;
        if (attempt.stop || attempt.phase === null) whole = false;
        const young =
          attempt.runningMs === null
            ? attempt.phase === "fetching"
            : now - attempt.runningMs < roundIntervalS * 1000;
        const isMovable =
          whole &&
          attempt.stop === null &&
          spec.kind !== "service" &&
          (spec.kind !== "gang" || spec.tasks === 1) &&
          (spec.checkpointS > 0 ? attempt.phase === "running" : young);
        tasks.push({
          ref: refs.push(attempt) - 1,
          jobId: attempt.job.id,
          cpus: spec.cpus,
          gpus: spec.gpus,
          memoryGb: spec.memoryGb,
          isMovable,
          canMoveTo: (name) => this.mayMove(attempt, name),
        });
      }
      machines.push({
        name: machine.name,
        capacity: machine.type,
        tasks,
        acceptsTasks: whole && !machine.isCordoned && machine.interruptionAtMs === null,
        measuredLoad: loadOf(measuredUse, machine.type),
        requestedLoad,
      });
    }
    const moves = planMerges(machines, { degrad: highLoadShare, moveCap: maxMovesPerRound });
    if (moves.length < maxMovesPerRound) {
      moves.push(
        ...planOffloads(machines, {
          degrad: highLoadShare,
          violate: overloadShare,
          moveCap: maxMovesPerRound - moves.length,
        }),
      );
    }
    if (moves.length === 0) return;
    this.plannedMoves = moves;
    this.attemptsToMove = new Map(moves.map((mv) => [mv.ref, refs[mv.ref]!]));
    this.context.writes.requestWrite(0);
  }

  private mayMove(attempt: Attempt, name: string): boolean {
    const machine = this.context.machines.get(name);
    const { spec } = attempt.job;
    if (
      !machine?.type ||
      machine.isCordoned ||
      !allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)
    )
      return false;
    const zones = new Map<string, number>();
    for (const b of attempt.job.attempts)
      if (b !== attempt) zones.set(b.machine.zone, (zones.get(b.machine.zone) ?? 0) + 1);
    return zoneRoom(spec, zones, machine.zone) > 0;
  }

  /** The round's moves are durable: now they begin, each as a stop here and a start there. */
  beginMoves(): void {
    const moves = this.plannedMoves ?? [];
    this.plannedMoves = null;
    const now = this.context.clock.nowMs();
    for (const mv of moves) {
      const attempt = this.attemptsToMove.get(mv.ref);
      if (!attempt || attempt.stop || !attempt.machine.attempts.has(attempt)) continue;
      log.info(`moving ${attempt.job.id}/${attempt.task} from ${mv.from} to ${mv.to}`);
      this.preferredMachines.set(attempt.job.id, { machine: mv.to, untilMs: now + 5000 });
      attempt.job.avoidedUntilMs.set(mv.from, now + this.context.operator.roundIntervalS * 2000);
      this.context.attempts.stopGracefully(attempt);
    }
    this.attemptsToMove.clear();
  }
}
