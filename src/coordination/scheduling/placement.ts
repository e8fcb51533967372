/**
 * Plans a scheduling cycle: the tasks to place, the tasks to preempt for them, and the tasks that stay unplaced. Uses
 * only the snapshots in its input.
 */
import { CycleState } from "./cycleState.js";
import { addResources, fittingTasks, zoneTaskCapacity } from "./fitting.js";
import { GangPlacement } from "./gangPlacement.js";
import { NO_SELECTION_LIMITS, MachineSelection } from "./machineSelection.js";
import type { PlacementInput, PlacementPlan } from "./placementPlan.js";
import { PreemptionPlanner } from "./preemptionPlanner.js";
import { addZoneTasks } from "./tasksByZone.js";
import type { JobView } from "./views.js";

/**
 * Plans one scheduling cycle: places jobs in the given order and frees capacity by preemption where the rules allow it.
 * Modifies the views in its input and has no other side effects.
 */
export function place(input: PlacementInput): PlacementPlan {
  return new SchedulingCycle(new CycleState(input)).run();
}

/** Plans the jobs of one cycle in order, first within their fair shares and then beyond them. */
class SchedulingCycle {
  private readonly selection: MachineSelection;
  private readonly preemption: PreemptionPlanner;
  private readonly gangs: GangPlacement;

  constructor(private readonly state: CycleState) {
    this.selection = new MachineSelection(state);
    this.preemption = new PreemptionPlanner(state);
    this.gangs = new GangPlacement({ state, selection: this.selection, preemption: this.preemption });
  }

  run(): PlacementPlan {
    const { jobs } = this.state.input;
    for (const job of jobs) this.placeJob(job);
    // Capacity that other jobs leave unused of their fair shares goes to any job that can use it.
    for (const job of jobs) {
      if (job.fairShareTasks >= Math.min(job.pendingTasks, job.taskLimit)) continue;
      job.fairShareTasks = Infinity;
      this.placeJob(job);
    }
    return this.state.plan;
  }

  private placeJob(job: JobView): void {
    const { spec } = job;
    const { quota } = this.state.input;
    this.state.releaseReservationsOf(spec.id);
    const wanted = Math.min(job.pendingTasks, job.taskLimit, job.fairShareTasks);
    const quotaHeadroom = quota.headroom(spec);
    if (spec.kind !== "gang") {
      this.placeTasks(job, wanted, quotaHeadroom);
      return;
    }
    if (wanted < spec.tasks) return;
    // The attainable headroom sums over all jobs of the team, so it is computed only if the quota is too small now.
    if (quotaHeadroom < spec.tasks && quota.attainableHeadroom(spec) < spec.tasks) return;
    this.gangs.place(job, quotaHeadroom);
  }

  /**
   * Places tasks that start independently. While the class's wait objective can still be met, a machine that can fetch
   * the image in time is preferred to a longer fetch elsewhere, even if it requires preemption.
   */
  private placeTasks(job: JobView, wanted: number, quotaHeadroom: number): void {
    if (wanted > quotaHeadroom) this.reserveQuota(job, wanted, quotaHeadroom);
    let remaining = Math.min(wanted, quotaHeadroom);
    if (remaining <= 0) return;
    const startWithinS = job.waitTargetLeftS;
    if (startWithinS !== null) remaining -= this.startTasks(job, remaining, startWithinS);
    if (remaining > 0) remaining -= this.renewReservations(job, remaining);
    if (startWithinS !== null && remaining > 0)
      remaining -= this.preemption.freeCapacity(job, remaining, startWithinS);
    if (remaining > 0) remaining -= this.startTasks(job, remaining, Infinity);
    if (remaining > 0) remaining -= this.preemption.freeCapacity(job, remaining, Infinity);
    if (remaining > 0) this.state.recordUnplaced(job, remaining, null);
  }

  /**
   * Plans to start up to `wanted` tasks where their image arrives within `fetchWithinS`; returns the number planned.
   */
  private startTasks(job: JobView, wanted: number, fetchWithinS: number): number {
    const limits = fetchWithinS === Infinity ? NO_SELECTION_LIMITS : { fetchWithinS, zone: null };
    return this.state.planStarts(job, this.selection.select(job, wanted, limits));
  }

  /**
   * Frees and holds quota for a job whose team is at its limit. Without the hold, small tasks of later jobs would take
   * each freed part of the quota, and it would never suffice for a large task (docs/incidents/inc-809f.md).
   */
  private reserveQuota(job: JobView, wanted: number, quotaHeadroom: number): void {
    const { spec } = job;
    const { quota } = this.state.input;
    if (quota.attainableHeadroom(spec) < 1) return;
    this.preemption.freeQuota(job, wanted - quota.headroomAfterStops(spec));
    if (quotaHeadroom === 0) quota.recordPlannedTasks(spec, 1);
  }

  /**
   * Renews the job's reservations for up to `wanted` tasks on machines whose preempted tasks are still stopping, so
   * that the cycle neither preempts for these tasks again nor gives the capacity to other jobs. Returns the number of
   * tasks.
   */
  private renewReservations(job: JobView, wanted: number): number {
    const { spec } = job;
    let renewed = 0;
    for (const reservation of this.state.previousReservationsOf(spec.id)) {
      const machine = this.state.machineByName(reservation.machine);
      if (!machine || renewed >= wanted) continue;
      const available = { ...machine.free };
      addResources(available, machine.stopping);
      const tasks = Math.min(
        reservation.tasks,
        wanted - renewed,
        fittingTasks(spec, available),
        zoneTaskCapacity(spec, job.tasksByZone, machine.zone),
      );
      if (tasks <= 0 || fittingTasks(spec, machine.free) >= tasks) continue;
      this.state.reserve(job, machine, tasks, reservation.etaS);
      addZoneTasks(job.tasksByZone, machine.zone, tasks);
      renewed += tasks;
    }
    this.state.input.quota.recordPlannedTasks(spec, renewed);
    return renewed;
  }
}
