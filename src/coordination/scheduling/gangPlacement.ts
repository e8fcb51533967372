/** Gang scheduling: places all tasks of a gang at once, in one zone if the job requires it, or none of them. */
import type { JobSpec } from "../../protocol/model.js";
import type { CycleState, SelectedMachine } from "./cycleState.js";
import { allowsPlacement, fits, fittingTasks, subtractTasks } from "./fitting.js";
import type { MachineSelection } from "./machineSelection.js";
import { placementCost } from "./placementCost.js";
import type { PreemptionPlanner } from "./preemptionPlanner.js";
import type { JobView, MachineView } from "./views.js";

/** Cost per gang task, in seconds, of each task slot left over in the zone: its value to a later gang. */
const SPARE_TASK_SLOT_VALUE_S = 0.2;
/** Expected wait of a gang for its team's quota; tasks that end sooner may backfill its reservations. */
const QUOTA_WAIT_S = 5;
/** Expected wait of a gang that lacks only machines that are booting or ordered. */
const INCOMING_WAIT_S = 20;

/** Components of a scheduling cycle that gang placement uses. */
export interface GangPlacementContext {
  state: CycleState;
  selection: MachineSelection;
  preemption: PreemptionPlanner;
}

/** A zone, or set of zones, in which the whole gang fits now. */
interface CompleteOption {
  selected: SelectedMachine[];
  cost: number;
}

/** A zone in which a part of the gang fits now, and more of it once the incoming machines are up. */
interface PartialOption {
  /** The zone, or null if the gang may use several zones. */
  zone: string | null;
  tasksNow: number;
  tasksIncoming: number;
  score: number;
}

/**
 * Places gangs: a gang starts as a whole or not at all, in one zone if it requires that. Capacity for a part of a gang
 * is reserved while machines for the rest are incoming, or once the gang is starving: otherwise smaller jobs would take
 * every machine that becomes free and the gang would never start.
 */
export class GangPlacement {
  constructor(private readonly context: GangPlacementContext) {}

  /** Places a gang whose team quota allows `quotaHeadroom` more tasks of its shape. */
  place(job: JobView, quotaHeadroom: number): void {
    const { state, preemption } = this.context;
    const wanted = job.spec.tasks;
    const isWithinQuota = quotaHeadroom >= wanted;
    const { complete, partial } = this.options(job);
    if (complete) {
      if (isWithinQuota) state.planStarts(job, complete.selected);
      else this.reserveUntilQuotaFrees(job, complete.selected);
      return;
    }
    if (isWithinQuota && preemption.freeCapacity(job, wanted, Infinity) >= wanted) return;
    if (partial) this.reservePartialGang(job, partial, isWithinQuota);
    else state.recordUnplaced(job, wanted, null);
  }

  /** Returns the cheapest option that fits the whole gang and the partial option with the highest score, if any. */
  private options(job: JobView): { complete: CompleteOption | null; partial: PartialOption | null } {
    const { spec } = job;
    const zones = spec.oneZone ? this.candidateZones(spec) : [null];
    let complete: CompleteOption | null = null;
    let partial: PartialOption | null = null;
    for (const zone of zones) {
      const selected = this.context.selection.select(job, spec.tasks, { fetchWithinS: Infinity, zone });
      const tasksNow = countTasks(selected);
      if (tasksNow >= spec.tasks) {
        const cost = this.completeCost(job, selected, zone);
        if (!complete || cost < complete.cost) complete = { selected, cost };
      } else {
        const option = this.partialOption(job, tasksNow, zone);
        if (!partial || option.score > partial.score) partial = option;
      }
    }
    return { complete, partial };
  }

  /**
   * Returns the cost of placing the whole gang. Leftover capacity adds to it, so that small gangs go to nearly full
   * zones and a large gang finds enough capacity in another zone.
   */
  private completeCost(job: JobView, selected: SelectedMachine[], zone: string | null): number {
    const wanted = job.spec.tasks;
    let cost = 0;
    for (const { machine, tasks } of selected) {
      cost += tasks * placementCost(job, machine, this.context.state.input);
    }
    return cost + (this.currentTaskCapacity(job, zone) - wanted) * SPARE_TASK_SLOT_VALUE_S * wanted;
  }

  private partialOption(job: JobView, tasksNow: number, zone: string | null): PartialOption {
    const { spec } = job;
    const tasksIncoming = this.incomingTaskCapacity(job, spec.tasks - tasksNow, zone);
    const tasksMissing = spec.tasks - tasksNow - tasksIncoming;
    // If the cloud has no capacity for the rest in this zone, the gang must wait until other jobs end.
    const mustWait =
      tasksMissing > 0 && zone !== null && this.context.state.input.isCapacityRefused(spec, zone);
    const score = tasksNow + tasksIncoming - (mustWait ? spec.tasks : 0);
    return { zone, tasksNow, tasksIncoming, score };
  }

  /** Reserves both machines and quota for a gang that fits on machines but exceeds its team's quota for now. */
  private reserveUntilQuotaFrees(job: JobView, selected: SelectedMachine[]): void {
    const { state, preemption } = this.context;
    const { quota } = state.input;
    preemption.freeQuota(job, job.spec.tasks - quota.headroomAfterStops(job.spec));
    for (const { machine, tasks } of selected) state.reserve(job, machine, tasks, QUOTA_WAIT_S);
    quota.recordPlannedTasks(job.spec, job.spec.tasks);
  }

  /** Claims incoming machines, reserves the capacity that is free now, and records the remaining tasks as unplaced. */
  private reservePartialGang(job: JobView, option: PartialOption, isWithinQuota: boolean): void {
    const { state, selection } = this.context;
    const { zone, tasksNow, tasksIncoming } = option;
    const wanted = job.spec.tasks;
    const isComplete = tasksNow + tasksIncoming >= wanted;
    this.claimIncomingCapacity(job, wanted - tasksNow, zone);
    if (isWithinQuota && tasksNow > 0 && (isComplete || job.isStarving)) {
      const etaS = isComplete ? INCOMING_WAIT_S : this.expectedWaitS(job, wanted - tasksNow, zone);
      const selected = selection.select(job, wanted, { fetchWithinS: Infinity, zone });
      for (const { machine, tasks } of selected) state.reserve(job, machine, tasks, etaS);
      // Other jobs of the team must not use up the gang's quota.
      state.input.quota.recordPlannedTasks(job.spec, wanted);
    }
    if (!isComplete) state.recordUnplaced(job, wanted - tasksNow - tasksIncoming, zone);
  }

  private candidateZones(spec: JobSpec): string[] {
    if (spec.zone !== null) return [spec.zone];
    const { machines, incoming } = this.context.state.input;
    const zones = new Set<string>();
    for (const machine of machines) if (machine.type.gpus >= spec.gpus) zones.add(machine.zone);
    for (const machine of incoming) zones.add(machine.zone);
    return [...zones];
  }

  /** Returns the number of the job's tasks that fit on the zone's machines now. */
  private currentTaskCapacity(job: JobView, zone: string | null): number {
    let tasks = 0;
    for (const machine of this.context.state.candidateMachines) {
      if (fits(job.spec, machine.free) && isAllowed(job.spec, machine, zone))
        tasks += fittingTasks(job.spec, machine.free);
    }
    return tasks;
  }

  /** Returns the number of the job's tasks, up to `wanted`, that will fit on the zone's incoming machines. */
  private incomingTaskCapacity(job: JobView, wanted: number, zone: string | null): number {
    let tasks = 0;
    for (const machine of this.context.state.input.incoming) {
      if (tasks >= wanted) break;
      if (isAllowed(job.spec, machine, zone)) tasks += fittingTasks(job.spec, machine.free);
    }
    return Math.min(tasks, wanted);
  }

  /**
   * Claims capacity for up to `wanted` tasks on incoming machines, so that no other gang plans with the same capacity.
   */
  private claimIncomingCapacity(job: JobView, wanted: number, zone: string | null): void {
    let remaining = wanted;
    for (const machine of this.context.state.input.incoming) {
      if (remaining <= 0) break;
      if (!isAllowed(job.spec, machine, zone)) continue;
      const tasks = Math.min(remaining, fittingTasks(job.spec, machine.free));
      subtractTasks(machine.free, job.spec, tasks);
      remaining -= tasks;
    }
  }

  /**
   * Returns the seconds until `missing` of the zone's busy machines, or all if fewer, should be free; 0 if none is
   * busy.
   */
  private expectedWaitS(job: JobView, missing: number, zone: string | null): number {
    const { machines, nowMs } = this.context.state.input;
    const timesS: number[] = [];
    for (const machine of machines) {
      if (!isAllowed(job.spec, machine, zone)) continue;
      if (fittingTasks(job.spec, machine.free) > 0 || !fits(job.spec, machine.type)) continue;
      timesS.push(machine.timeUntilIdleS(nowMs));
    }
    timesS.sort((left, right) => left - right);
    return timesS[Math.min(missing, timesS.length) - 1] ?? 0;
  }
}

function isAllowed(spec: JobSpec, machine: MachineView, zone: string | null): boolean {
  if (zone !== null && machine.zone !== zone) return false;
  return allowsPlacement(spec, machine.type.name, machine.zone, machine.spot);
}

function countTasks(selected: SelectedMachine[]): number {
  let total = 0;
  for (const { tasks } of selected) total += tasks;
  return total;
}
