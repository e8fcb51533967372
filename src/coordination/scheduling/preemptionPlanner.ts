/** Plans the preemptions of one scheduling cycle within the cycle's limits. */
import { removeVictimCandidates, type CycleState } from "./cycleState.js";
import {
  addResources,
  allowsPlacement,
  ROUNDING_TOLERANCE,
  subtractTasks,
  zoneTaskCapacity,
} from "./fitting.js";
import { fetchDelayS } from "./placementCost.js";
import { mayEvict, victimsFor } from "./preemption.js";
import { addZoneTasks } from "./tasksByZone.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** Cost of one second of lost work, in seconds of image fetch delay. */
const LOST_WORK_WEIGHT = 0.3;

/** A machine on which preemption frees capacity for at least one more task. */
interface MachineOption {
  machine: MachineView;
  /** Approximate cost in seconds. */
  cost: number;
}

/** The victims on one machine, with the number of the preempting job's tasks that fit once they have stopped. */
interface MachineEvictions {
  machine: MachineView;
  victims: VictimView[];
  tasks: number;
}

interface QuotaVictim {
  machine: MachineView;
  victim: VictimView;
  lossS: number;
}

/**
 * Decides which running tasks a cycle preempts, to free machine capacity (`freeCapacity`) or team quota (`freeQuota`).
 * Enforces the cycle's limits on evictions and on victim searches.
 */
export class PreemptionPlanner {
  /** Job shapes for which preemption cannot help in this cycle; further jobs of these shapes are skipped. */
  private readonly unsatisfiableShapes = new Set<string>();
  private victimSearches = 0;

  constructor(private readonly state: CycleState) {}

  /**
   * Plans evictions so that up to `wanted` tasks of the job fit on machines where their image arrives within
   * `fetchWithinS` seconds, and reserves the capacity. For a gang, evictions are planned for all tasks or for none.
   * @returns the number of tasks for which capacity is reserved
   */
  freeCapacity(job: JobView, wanted: number, fetchWithinS: number): number {
    const { spec } = job;
    // Jobs of the lowest priority preempt nothing unless they are within their team's guaranteed quota.
    if ((spec.priority === 0 && !job.isGuaranteed) || !this.mayPreempt(job)) return 0;
    const shape = preemptionShape(job);
    if (this.unsatisfiableShapes.has(shape)) return 0;
    this.victimSearches++;
    const options = this.machineOptions(job, fetchWithinS, shape);
    if (options.length === 0) return 0;
    options.sort(byCost);
    const evictions = this.chooseEvictions(job, wanted, options);
    const tasks = evictions.reduce((total, eviction) => total + eviction.tasks, 0);
    if (tasks < wanted && spec.kind === "gang") return 0;
    for (const eviction of evictions) this.planEvictions(job, eviction);
    this.state.input.quota.recordPlannedTasks(spec, tasks);
    return tasks;
  }

  /**
   * Plans evictions of the team's tasks of lower priority, to bring up to `tasks` more of the job's tasks under its
   * quota.
   */
  freeQuota(job: JobView, tasks: number): void {
    const { spec } = job;
    if (tasks <= 0 || job.waitTargetLeftS === null || !this.mayPreempt(job)) return;
    const shape = `quota ${spec.priority} ${spec.team}`;
    if (this.unsatisfiableShapes.has(shape)) return;
    this.victimSearches++;
    const candidates = this.quotaVictims(job);
    if (candidates.length === 0) this.unsatisfiableShapes.add(shape);
    candidates.sort(
      (left, right) => left.victim.priority - right.victim.priority || left.lossS - right.lossS,
    );
    let missingCpus = spec.cpus * tasks;
    let missingGpus = spec.gpus * tasks;
    for (const { machine, victim } of candidates) {
      const lacksCpus = missingCpus > ROUNDING_TOLERANCE;
      const lacksGpus = missingGpus > ROUNDING_TOLERANCE;
      if ((!lacksCpus && !lacksGpus) || this.evictionsLeft() <= 0) break;
      const helps = (lacksCpus && victim.cpus > 0) || (lacksGpus && victim.gpus > 0);
      if (!helps) continue;
      missingCpus -= victim.cpus;
      missingGpus -= victim.gpus;
      removeVictimCandidates(machine, [victim]);
      this.state.planEviction(machine, victim, job);
    }
  }

  private mayPreempt(job: JobView): boolean {
    const { maxVictimSearches, canPreemptFor } = this.state.input;
    return this.victimSearches < maxVictimSearches && canPreemptFor(job);
  }

  private evictionsLeft(): number {
    return this.state.input.maxEvictions - this.state.plan.evictions.length;
  }

  /**
   * Returns the machines on which evictions help. Marks the shape as unsatisfiable if no job of that shape can have
   * any.
   */
  private machineOptions(job: JobView, fetchWithinS: number, shape: string): MachineOption[] {
    const { spec } = job;
    const { input, plan } = this.state;
    const options: MachineOption[] = [];
    let hasSkippedMachines = fetchWithinS < Infinity;
    plan.machinesExamined += input.machines.length;
    for (const machine of input.machines) {
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      if (spec.gpus === 0 && machine.type.gpus > 0 && machine.acceleratorReserve) continue;
      const delayS = fetchDelayS(spec, machine);
      if (delayS > fetchWithinS || isUnavailableFor(job, machine)) {
        hasSkippedMachines = true;
        continue;
      }
      const found = victimsFor(job, machine, input);
      if (!found) continue;
      options.push({ machine, cost: delayS + found.lossS * LOST_WORK_WEIGHT + found.victims.length });
    }
    if (options.length === 0 && !hasSkippedMachines) this.unsatisfiableShapes.add(shape);
    return options;
  }

  private chooseEvictions(job: JobView, wanted: number, options: MachineOption[]): MachineEvictions[] {
    const evictions: MachineEvictions[] = [];
    const tasksByZone = new Map(job.tasksByZone);
    let remaining = wanted;
    let evictionsLeft = this.evictionsLeft();
    for (const { machine } of options) {
      const eviction = this.chooseEvictionsOn(job, machine, remaining, evictionsLeft, tasksByZone);
      if (eviction.tasks > 0) evictions.push(eviction);
      remaining -= eviction.tasks;
      evictionsLeft -= eviction.victims.length;
      if (remaining <= 0) break;
    }
    return evictions;
  }

  /**
   * Chooses victims on one machine for up to `wanted` tasks. The machine's resources are restored afterwards, but the
   * chosen victims are not offered again in this cycle.
   */
  private chooseEvictionsOn(
    job: JobView,
    machine: MachineView,
    wanted: number,
    maxVictims: number,
    tasksByZone: Map<string, number>,
  ): MachineEvictions {
    const { spec } = job;
    const freeBefore = { ...machine.free };
    const stoppingBefore = { ...machine.stopping };
    const eviction: MachineEvictions = { machine, victims: [], tasks: 0 };
    while (eviction.tasks < wanted && zoneTaskCapacity(spec, tasksByZone, machine.zone) > 0) {
      const found = victimsFor(job, machine, this.state.input);
      if (!found || eviction.victims.length + found.victims.length > maxVictims) break;
      eviction.victims.push(...found.victims);
      eviction.tasks++;
      subtractTasks(machine.free, spec, 1);
      for (const victim of found.victims) addResources(machine.stopping, victim);
      removeVictimCandidates(machine, found.victims);
      addZoneTasks(tasksByZone, machine.zone, 1);
    }
    this.state.plan.modifiedMachines.add(machine);
    Object.assign(machine.free, freeBefore);
    Object.assign(machine.stopping, stoppingBefore);
    return eviction;
  }

  private planEvictions(job: JobView, { machine, victims, tasks }: MachineEvictions): void {
    for (const victim of victims) this.state.planEviction(machine, victim, job);
    // Other jobs must not use the freed capacity in the meantime, in particular not the preempted jobs.
    this.state.reserve(job, machine, tasks, 0);
    addZoneTasks(job.tasksByZone, machine.zone, tasks);
  }

  private quotaVictims(job: JobView): QuotaVictim[] {
    const { input, plan } = this.state;
    const candidates: QuotaVictim[] = [];
    plan.machinesExamined += input.machines.length;
    for (const machine of input.machines) {
      for (const victim of machine.victims()) {
        if (victim.team !== job.spec.team || !mayEvict(job, victim, input)) continue;
        const lossS = victim.lossS(input.nowMs);
        if (lossS < Infinity) candidates.push({ machine, victim, lossS });
      }
    }
    return candidates;
  }
}

/**
 * Returns a key of the job properties that determine whether any eviction helps; jobs with equal keys are equivalent.
 */
function preemptionShape({ spec, isGuaranteed }: JobView): string {
  const { team, priority, cpus, gpus, memoryGb, zone, spot, types } = spec;
  // The lengths show where the names end, whatever they contain.
  const names = `${team.length} ${zone?.length} ${team}${zone}${JSON.stringify(types)}`;
  return `${priority} ${isGuaranteed} ${cpus} ${gpus} ${memoryGb} ${spot} ${names}`;
}

/** Returns true if the machine is excluded for a reason that may not apply to other jobs of the same shape. */
function isUnavailableFor(job: JobView, machine: MachineView): boolean {
  return (
    job.avoidedMachines.has(machine.name) ||
    machine.reserved !== null ||
    zoneTaskCapacity(job.spec, job.tasksByZone, machine.zone) <= 0
  );
}

function byCost(left: MachineOption, right: MachineOption): number {
  return left.cost - right.cost || (left.machine.name < right.machine.name ? -1 : 1);
}
