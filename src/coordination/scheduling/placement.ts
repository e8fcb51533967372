/**
 * The decision of one cycle: where tasks go, who is stopped for them, and what found no place. Works on snapshots
 * alone.
 */
import { countInZone, CycleState } from "./cycleState.js";
import { addResources, fittingTasks, zoneRoom } from "./fitting.js";
import { GangPlacement } from "./gangPlacement.js";
import { ANY_MACHINE, MachineSelection } from "./machineSelection.js";
import type { PlacementInput, PlacementPlan } from "./placementPlan.js";
import { PreemptionPlanner } from "./preemptionPlanner.js";
import type { JobView } from "./views.js";

/**
 * Plans one scheduling cycle: places what it can, in the order of the jobs, and makes room by stopping lesser work where
 * the rules of preemption allow it. Writes on the views that it is given, and does nothing else to its surroundings.
 */
export function place(input: PlacementInput): PlacementPlan {
  return new SchedulingCycle(new CycleState(input)).run();
}

/** Serves the jobs of one cycle, one after another. */
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
    // What others leave of their fair shares is for whoever can use it.
    for (const job of jobs) {
      if (job.fairShareTasks >= Math.min(job.pending, job.taskLimit)) continue;
      job.fairShareTasks = Infinity;
      this.placeJob(job);
    }
    return this.state.plan;
  }

  private placeJob(job: JobView): void {
    const { spec } = job;
    const { quota } = this.state.input;
    this.state.releaseReservationsOf(spec.id);
    const wanted = Math.min(job.pending, job.taskLimit, job.fairShareTasks);
    const quotaRoom = quota.room(spec);
    if (spec.kind !== "gang") {
      this.placeTasks(job, wanted, quotaRoom);
      return;
    }
    if (wanted < spec.tasks) return;
    // What is attainable is a sum over all of the team's jobs, so it is asked for only when the limit is in the way.
    if (quotaRoom < spec.tasks && quota.attainable(spec) < spec.tasks) return;
    this.gangs.place(job, quotaRoom);
  }

  /**
   * Places tasks that start one by one. While the class's objective for the wait can still be met, a machine that can
   * have the image within that time, even if preemption has to make room on it, comes before a longer fetch elsewhere.
   */
  private placeTasks(job: JobView, wanted: number, quotaRoom: number): void {
    if (wanted > quotaRoom) this.claimQuota(job, wanted, quotaRoom);
    let missing = Math.min(wanted, quotaRoom);
    if (missing <= 0) return;
    const startWithinS = job.waitTargetLeftS;
    if (startWithinS !== null) missing -= this.startTasks(job, missing, startWithinS);
    if (missing > 0) missing -= this.keepReservations(job, missing);
    if (startWithinS !== null && missing > 0) missing -= this.preemption.makeRoom(job, missing, startWithinS);
    if (missing > 0) missing -= this.startTasks(job, missing, Infinity);
    if (missing > 0) missing -= this.preemption.makeRoom(job, missing, Infinity);
    if (missing > 0) this.state.leaveUnplaced(job, missing, null);
  }

  /** Starts up to `wanted` tasks where their image is there within that time; returns the number of tasks. */
  private startTasks(job: JobView, wanted: number, fetchWithinS: number): number {
    const limits = fetchWithinS === Infinity ? ANY_MACHINE : { fetchWithinS, zone: null };
    return this.state.planStarts(job, this.selection.select(job, wanted, limits));
  }

  /**
   * The team is at its limit. Whatever of it comes free is for this job before those that are served after it: taken piece
   * by piece by small tasks, it would never be enough for a large one (docs/incidents/inc-809f.md).
   */
  private claimQuota(job: JobView, wanted: number, quotaRoom: number): void {
    const { spec } = job;
    const { quota } = this.state.input;
    if (quota.attainable(spec) < 1) return;
    this.preemption.freeQuota(job, wanted - quota.roomWhenStopped(spec));
    if (quotaRoom === 0) quota.take(spec, 1);
  }

  /**
   * Renews reservations on machines that tasks are still leaving, for up to `missing` tasks: no second room is made for
   * them, and nobody else gets the first. Returns the number of tasks.
   */
  private keepReservations(job: JobView, missing: number): number {
    const { spec } = job;
    let kept = 0;
    for (const reservation of this.state.earlierReservationsOf(spec.id)) {
      const machine = this.state.machineNamed(reservation.machine);
      if (!machine || kept >= missing) continue;
      const room = { ...machine.free };
      addResources(room, machine.stopping);
      const tasks = Math.min(
        reservation.tasks,
        missing - kept,
        fittingTasks(spec, room),
        zoneRoom(spec, job.zones, machine.zone),
      );
      if (tasks <= 0 || fittingTasks(spec, machine.free) >= tasks) continue;
      this.state.reserve(job, machine, tasks, reservation.etaS);
      countInZone(job.zones, machine.zone, tasks);
      kept += tasks;
    }
    this.state.input.quota.take(spec, kept);
    return kept;
  }
}
