/** The mutable state of one scheduling cycle: the plan so far and its effect on the machine and job views. */
import type { JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";
import { addResources, ROUNDING_TOLERANCE, subtractTasks } from "./fitting.js";
import { groupBy } from "./groupBy.js";
import type { PlacementInput, PlacementPlan, Reservation } from "./placementPlan.js";
import { addZoneTasks } from "./tasksByZone.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** A machine selected for a job, with the number of the job's tasks to place on it. */
export interface SelectedMachine {
  machine: MachineView;
  tasks: number;
}

/**
 * Owns the plan of one scheduling cycle and applies each decision to the views immediately, so that jobs processed
 * later see only the remaining capacity. Guarantees that `modifiedMachines` contains every machine view that was
 * changed.
 */
export class CycleState {
  readonly plan: PlacementPlan = {
    placements: [],
    evictions: [],
    unplaced: [],
    reservations: [],
    modifiedMachines: new Set(),
    machinesExamined: 0,
  };
  /** Machines that fit the smallest CPU and memory requests of all jobs, counting reserved resources as free. */
  readonly candidateMachines: MachineView[];
  private readonly machinesByName = new Map<string, MachineView>();
  private readonly previousReservations: Map<string, Reservation[]>;

  constructor(readonly input: PlacementInput) {
    for (const machine of input.machines) {
      this.machinesByName.set(machine.name, machine);
      machine.reserved = null;
    }
    this.previousReservations = groupBy(input.reservations, (reservation) => reservation.jobId);
    this.applyPreviousReservations();
    this.plan.machinesExamined += input.machines.length;
    this.candidateMachines = findCandidateMachines(input);
  }

  machineByName(name: string): MachineView | undefined {
    return this.machinesByName.get(name);
  }

  /** Returns the reservations that the previous cycle made for the job. */
  previousReservationsOf(jobId: string): Reservation[] {
    return this.previousReservations.get(jobId) ?? [];
  }

  /** Releases the resources that previous cycles reserved for the job, so that the job can be placed on them. */
  releaseReservationsOf(jobId: string): void {
    for (const reservation of this.previousReservationsOf(jobId)) {
      const machine = this.machinesByName.get(reservation.machine);
      if (machine?.reserved?.jobId === jobId) this.releaseReservation(machine);
    }
  }

  /** Releases the reserved resources of the machine to all jobs. */
  releaseReservation(machine: MachineView): void {
    if (!machine.reserved) return;
    this.plan.modifiedMachines.add(machine);
    addResources(machine.free, machine.reserved.amount);
    machine.reserved = null;
  }

  /** Reserves resources for tasks that cannot start yet, in this cycle and, through the plan, in the next one. */
  reserve(job: JobView, machine: MachineView, tasks: number, etaS: number): void {
    this.reserveResources(machine, job.spec, tasks, etaS);
    this.plan.reservations.push({ jobId: job.spec.id, machine: machine.name, tasks, etaS });
  }

  /** Plans to start the job's tasks on the selected machines and returns the number of tasks. */
  planStarts(job: JobView, selected: SelectedMachine[]): number {
    const { spec } = job;
    let started = 0;
    for (const { machine, tasks } of selected) {
      this.plan.modifiedMachines.add(machine);
      subtractTasks(machine.free, spec, tasks);
      recordFetch(machine, spec);
      addZoneTasks(job.tasksByZone, machine.zone, tasks);
      this.plan.placements.push({ jobId: spec.id, machine: machine.name, tasks });
      started += tasks;
    }
    job.pendingTasks -= started;
    job.taskLimit -= started;
    job.fairShareTasks -= started;
    this.input.quota.recordPlannedTasks(spec, started);
    return started;
  }

  /** Plans to preempt a running task in favor of the job. */
  planEviction(machine: MachineView, victim: VictimView, job: JobView): void {
    addResources(machine.stopping, victim);
    this.plan.modifiedMachines.add(machine);
    this.plan.evictions.push({ ref: victim.ref, jobId: job.spec.id });
  }

  /** Records tasks without a machine. `zone` is the zone that the rest of a gang needs, or null for any zone. */
  recordUnplaced(job: JobView, tasks: number, zone: string | null): void {
    this.plan.unplaced.push({ job, tasks, zone });
  }

  private applyPreviousReservations(): void {
    const { jobs, reservations } = this.input;
    const waitingSpecs = new Map(jobs.map(({ spec }) => [spec.id, spec]));
    for (const { jobId, machine: name, tasks, etaS } of reservations) {
      const machine = this.machinesByName.get(name);
      const spec = waitingSpecs.get(jobId);
      if (machine && !machine.reserved && spec) this.reserveResources(machine, spec, tasks, etaS);
    }
  }

  private reserveResources(machine: MachineView, spec: JobSpec, tasks: number, etaS: number): void {
    this.plan.modifiedMachines.add(machine);
    subtractTasks(machine.free, spec, tasks);
    const amount: Resources = machine.reserved?.amount ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    subtractTasks(amount, spec, -tasks);
    machine.reserved = { jobId: spec.id, amount, etaS: Math.max(etaS, machine.reserved?.etaS ?? 0) };
  }
}

/** Removes tasks that are already being stopped from the machine's list of possible victims. */
export function removeVictimCandidates(machine: MachineView, removed: VictimView[]): void {
  const remaining = machine.victims().filter((victim) => !removed.includes(victim));
  machine.victims = () => remaining;
}

function findCandidateMachines({ jobs, machines }: PlacementInput): MachineView[] {
  let leastCpus = Infinity;
  let leastMemoryGb = Infinity;
  for (const { spec } of jobs) {
    leastCpus = Math.min(leastCpus, spec.cpus);
    leastMemoryGb = Math.min(leastMemoryGb, spec.memoryGb);
  }
  return machines.filter(
    ({ free, reserved }) =>
      free.cpus + (reserved?.amount.cpus ?? 0) >= leastCpus - ROUNDING_TOLERANCE &&
      free.memoryGb + (reserved?.amount.memoryGb ?? 0) >= leastMemoryGb - ROUNDING_TOLERANCE,
  );
}

/** Records the image fetch that a planned task starts, so that later placements of the cycle account for it. */
function recordFetch(machine: MachineView, spec: JobSpec): void {
  if (machine.images.has(spec.image)) return;
  if (!machine.fetching.has(spec.image)) machine.fetchBacklogGb += spec.imageGb;
  machine.fetching.add(spec.image);
  machine.fetchPriority = Math.max(machine.fetchPriority, spec.priority);
}
