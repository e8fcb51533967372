/** Machines and tasks as one round of consolidation sees them. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { Resources } from "../../bookkeeping/resources.js";
import type { MachineType } from "../../protocol/model.js";
import type { OperatorSettings } from "../../settings/operator.js";
import { allowsPlacement, zoneTaskCapacity } from "../scheduling/fitting.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { LoadedTask, MeasuredMachine } from "./loadedMachine.js";
import { loadLevelOf, loadOf } from "./machineLoad.js";

const MS_PER_S = 1000;
/** A machine whose last heartbeat is older than this many intervals may have lost tasks since. */
const FRESH_HEARTBEATS = 1.5;

/** What a snapshot is taken of. */
export interface ConsolidationSnapshotContext {
  jobs: JobRegistry;
  machines: MachineRegistry;
  operator: OperatorSettings;
  /** Workers' time between heartbeats, in seconds. */
  heartbeatS: number;
}

/** The machines that a round of consolidation decides on, and the attempts on them. */
export interface ConsolidationSnapshot {
  machines: MeasuredMachine[];
  /** Each at the index that its task has as `ref`. */
  attempts: Attempt[];
}

/** The machines that a round could empty or relieve; the others are left out. */
export function takeSnapshot(context: ConsolidationSnapshotContext, nowMs: number): ConsolidationSnapshot {
  return new SnapshotBuilder(context, nowMs).build();
}

class SnapshotBuilder {
  private readonly attempts: Attempt[] = [];

  constructor(
    private readonly context: ConsolidationSnapshotContext,
    private readonly nowMs: number,
  ) {}

  build(): ConsolidationSnapshot {
    const machines: MeasuredMachine[] = [];
    for (const machine of this.context.machines.values()) {
      if (machine.state !== "up" || !machine.type) continue;
      const requestedLoad = loadOf(machine.used, machine.type);
      if (!this.isConcerned(machine, requestedLoad)) continue;
      machines.push(this.measuredMachine(machine, machine.type, requestedLoad));
    }
    return { machines, attempts: this.attempts };
  }

  /** Most machines are well loaded and use what their tasks ask for: a round would neither empty nor relieve them. */
  private isConcerned(machine: Machine, requestedLoad: number): boolean {
    return (
      loadLevelOf(requestedLoad, this.context.operator.highLoadShare) === "low" ||
      machine.listedTasks.length > machine.attempts.size
    );
  }

  private measuredMachine(machine: Machine, type: MachineType, requestedLoad: number): MeasuredMachine {
    // An old heartbeat would have tasks moved that have already left.
    let isSettled =
      this.nowMs - machine.lastContactMs < this.context.heartbeatS * (FRESH_HEARTBEATS * MS_PER_S);
    const tasks: LoadedTask[] = [];
    for (const attempt of machine.attempts) {
      if (attempt.stop || attempt.phase === null) isSettled = false;
      tasks.push(this.loadedTask(attempt, isSettled && this.isMovable(attempt)));
    }
    return {
      name: machine.name,
      capacity: type,
      tasks,
      acceptsTasks: isSettled && !machine.isCordoned && machine.interruptionAtMs === null,
      measuredLoad: loadOf(this.measuredUse(machine), type),
      requestedLoad,
    };
  }

  /** What the tasks in the machine's last heartbeat ask for. */
  private measuredUse(machine: Machine): Resources {
    const used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const task of machine.listedTasks) {
      const spec = this.context.jobs.get(task.jobId)?.spec;
      if (task.phase === "exited" || !spec) continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
      used.memoryGb += spec.memoryGb;
    }
    return used;
  }

  /** It can be stopped at little cost: it saves its progress, or has run for less than a round. */
  private isMovable(attempt: Attempt): boolean {
    const { spec } = attempt.job;
    if (attempt.stop !== null || spec.kind === "service") return false;
    // Stopping one member of a gang stops them all.
    if (spec.kind === "gang" && spec.tasks > 1) return false;
    return spec.checkpointS > 0 ? attempt.phase === "running" : this.isYoung(attempt);
  }

  private isYoung({ runningMs, phase }: Attempt): boolean {
    if (runningMs === null) return phase === "fetching";
    return this.nowMs - runningMs < this.context.operator.roundIntervalS * MS_PER_S;
  }

  private loadedTask(attempt: Attempt, isMovable: boolean): LoadedTask {
    const { id, spec } = attempt.job;
    return {
      ref: this.attempts.push(attempt) - 1,
      jobId: id,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      isMovable,
      canMoveTo: (name) => canRunOn(attempt, this.context.machines.get(name)),
    };
  }
}

/** Whether the rules of placement let the attempt run there, given where the job's other attempts are. */
function canRunOn(attempt: Attempt, machine: Machine | undefined): boolean {
  const { spec } = attempt.job;
  if (!machine?.type || machine.isCordoned) return false;
  if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) return false;
  return zoneTaskCapacity(spec, otherTasksByZone(attempt.job, attempt), machine.zone) > 0;
}

function otherTasksByZone(job: Job, except: Attempt): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  for (const attempt of job.attempts) {
    if (attempt === except) continue;
    const { zone } = attempt.machine;
    tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
  }
  return tasksByZone;
}
