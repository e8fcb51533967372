/** Builds the snapshot of machines and tasks that one consolidation round plans with. */
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import type { Resources } from "../../bookkeeping/resources.js";
import type { MachineType } from "../../protocol/model.js";
import type { OperatorSettings } from "../../settings/operator.js";
import { allowsPlacement, zoneTaskCapacity } from "../scheduling/fitting.js";
import { otherAttemptsByZone } from "../scheduling/tasksByZone.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TaskSnapshot, MachineLoadSnapshot } from "./consolidationTypes.js";
import { loadLevelOf, loadOf } from "./machineLoad.js";

const MS_PER_S = 1000;
/** Age of a machine's last heartbeat, in heartbeat intervals, from which tasks that it lists may be gone. */
const MAX_HEARTBEAT_AGE_INTERVALS = 1.5;

/** The state that a snapshot is built from. */
export interface ConsolidationSnapshotContext {
  jobs: JobRegistry;
  machines: MachineRegistry;
  operator: OperatorSettings;
  /** Heartbeat interval of the workers, in seconds. */
  heartbeatS: number;
}

/** The machines that a consolidation round plans with, and the attempts on them. */
export interface ConsolidationSnapshot {
  machines: MachineLoadSnapshot[];
  /** The attempts on the machines; the index of each is the `ref` of its task. */
  attempts: Attempt[];
}

/** Takes a snapshot of the machines that a round may empty or relieve; other machines are left out. */
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
    const machines: MachineLoadSnapshot[] = [];
    for (const machine of this.context.machines.values()) {
      if (machine.state !== "up" || !machine.type) continue;
      const plannedLoad = loadOf(machine.used, machine.type);
      if (!this.isCandidate(machine, plannedLoad)) continue;
      machines.push(this.snapshotMachine(machine, machine.type, plannedLoad));
    }
    return { machines, attempts: this.attempts };
  }

  /**
   * Whether a round may empty or relieve the machine. Most machines are left out, because they are well loaded and run
   * no more than the planned tasks.
   */
  private isCandidate(machine: Machine, plannedLoad: number): boolean {
    return (
      loadLevelOf(plannedLoad, this.context.operator.highLoadShare) === "low" ||
      machine.reportedTasks.length > machine.attempts.size
    );
  }

  private snapshotMachine(machine: Machine, type: MachineType, plannedLoad: number): MachineLoadSnapshot {
    // With an outdated heartbeat, a round would move tasks that are already gone.
    let isSettled =
      this.nowMs - machine.lastContactMs < this.context.heartbeatS * (MAX_HEARTBEAT_AGE_INTERVALS * MS_PER_S);
    const tasks: TaskSnapshot[] = [];
    for (const attempt of machine.attempts) {
      if (attempt.stop || attempt.phase === null) isSettled = false;
      tasks.push(this.snapshotTask(attempt, isSettled && this.isMovable(attempt)));
    }
    return {
      name: machine.name,
      capacity: type,
      tasks,
      acceptsTasks: isSettled && !machine.isCordoned && machine.interruptionAtMs === null,
      reportedLoad: loadOf(this.reportedResources(machine), type),
      plannedLoad,
    };
  }

  /** The resources that the tasks in the machine's newest heartbeat request. */
  private reportedResources(machine: Machine): Resources {
    const used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const task of machine.reportedTasks) {
      const spec = this.context.jobs.get(task.jobId)?.spec;
      if (task.phase === "exited" || !spec) continue;
      used.cpus += spec.cpus;
      used.gpus += spec.gpus;
      used.memoryGb += spec.memoryGb;
    }
    return used;
  }

  /** Whether a stop costs little: the task writes checkpoints, or has run for less than a round interval. */
  private isMovable(attempt: Attempt): boolean {
    const { spec } = attempt.job;
    if (attempt.stop !== null || spec.kind === "service") return false;
    // A stop of one gang member stops the whole gang.
    if (spec.kind === "gang" && spec.tasks > 1) return false;
    return spec.checkpointS > 0 ? attempt.phase === "running" : this.hasJustStarted(attempt);
  }

  private hasJustStarted({ runningMs, phase }: Attempt): boolean {
    if (runningMs === null) return phase === "fetching";
    return this.nowMs - runningMs < this.context.operator.roundIntervalS * MS_PER_S;
  }

  private snapshotTask(attempt: Attempt, isMovable: boolean): TaskSnapshot {
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

/** Whether the placement rules allow the attempt on the machine, given the zones of the job's other attempts. */
function canRunOn(attempt: Attempt, machine: Machine | undefined): boolean {
  const { spec } = attempt.job;
  if (!machine?.type || machine.isCordoned) return false;
  if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) return false;
  return zoneTaskCapacity(spec, otherAttemptsByZone(attempt), machine.zone) > 0;
}
