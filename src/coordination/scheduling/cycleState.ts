/** What one cycle has decided so far, as far as it matters to the decisions that follow. */
import type { JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";
import { addResources, ROUNDING_TOLERANCE, subtractTasks } from "./fitting.js";
import { groupBy } from "./groupBy.js";
import type { PlacementInput, PlacementPlan, Reservation } from "./placementPlan.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** A machine that was selected for a job, and the number of tasks that go there. */
export interface SelectedMachine {
  machine: MachineView;
  tasks: number;
}

/**
 * What one scheduling cycle has decided so far: the plan, and the views as they will be once it is carried out. Each
 * decision is entered here at once, so the jobs that are served later see what is left. Promises that
 * `modifiedMachines` holds every machine view that was written on.
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
  /** Machines that could hold a task of the least demanding job, if need be with what is reserved on them. */
  readonly openMachines: MachineView[];
  private readonly machinesByName = new Map<string, MachineView>();
  private readonly earlierReservations: Map<string, Reservation[]>;

  constructor(readonly input: PlacementInput) {
    for (const machine of input.machines) {
      this.machinesByName.set(machine.name, machine);
      machine.reserved = null;
    }
    this.earlierReservations = groupBy(input.reservations, (reservation) => reservation.jobId);
    this.holdEarlierReservations();
    this.plan.machinesExamined += input.machines.length;
    this.openMachines = machinesWithRoom(input);
  }

  machineNamed(name: string): MachineView | undefined {
    return this.machinesByName.get(name);
  }

  /** The job's reservations of the cycle before. */
  earlierReservationsOf(jobId: string): Reservation[] {
    return this.earlierReservations.get(jobId) ?? [];
  }

  /** Makes what earlier cycles reserved for the job available to it again. */
  releaseReservationsOf(jobId: string): void {
    for (const reservation of this.earlierReservationsOf(jobId)) {
      const machine = this.machinesByName.get(reservation.machine);
      if (machine?.reserved?.jobId === jobId) this.releaseReservation(machine);
    }
  }

  /** Makes what is reserved on the machine free for any job. */
  releaseReservation(machine: MachineView): void {
    if (!machine.reserved) return;
    this.plan.modifiedMachines.add(machine);
    addResources(machine.free, machine.reserved.amount);
    machine.reserved = null;
  }

  /** Keeps resources for tasks that can't start yet, in this cycle and, through the plan, in the next. */
  reserve(job: JobView, machine: MachineView, tasks: number, etaS: number): void {
    this.holdResources(machine, job.spec, tasks, etaS);
    this.plan.reservations.push({ jobId: job.spec.id, machine: machine.name, tasks, etaS });
  }

  /** Plans the starts; returns the number of tasks. */
  planStarts(job: JobView, selected: SelectedMachine[]): number {
    const { spec } = job;
    let started = 0;
    for (const { machine, tasks } of selected) {
      this.plan.modifiedMachines.add(machine);
      subtractTasks(machine.free, spec, tasks);
      expectFetch(machine, spec);
      countInZone(job.zones, machine.zone, tasks);
      this.plan.placements.push({ jobId: spec.id, machine: machine.name, tasks });
      started += tasks;
    }
    job.pending -= started;
    job.taskLimit -= started;
    job.fairShareTasks -= started;
    this.input.quota.take(spec, started);
    return started;
  }

  /** Plans to stop a running task in favour of the job. */
  evict(machine: MachineView, victim: VictimView, job: JobView): void {
    addResources(machine.stopping, victim);
    this.plan.modifiedMachines.add(machine);
    this.plan.evictions.push({ ref: victim.ref, jobId: job.spec.id });
  }

  /** Records tasks for which no machine was found; `zone`: where the rest of a gang has to go. */
  leaveUnplaced(job: JobView, tasks: number, zone: string | null): void {
    this.plan.unplaced.push({ job, tasks, zone });
  }

  private holdEarlierReservations(): void {
    const { jobs, reservations } = this.input;
    const waitingSpecs = new Map(jobs.map(({ spec }) => [spec.id, spec]));
    for (const { jobId, machine: name, tasks, etaS } of reservations) {
      const machine = this.machinesByName.get(name);
      const spec = waitingSpecs.get(jobId);
      if (machine && !machine.reserved && spec) this.holdResources(machine, spec, tasks, etaS);
    }
  }

  private holdResources(machine: MachineView, spec: JobSpec, tasks: number, etaS: number): void {
    this.plan.modifiedMachines.add(machine);
    subtractTasks(machine.free, spec, tasks);
    const amount: Resources = machine.reserved?.amount ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    subtractTasks(amount, spec, -tasks);
    machine.reserved = { jobId: spec.id, amount, etaS: Math.max(etaS, machine.reserved?.etaS ?? 0) };
  }
}

/** Counts tasks of a job in a zone. */
export function countInZone(tasksByZone: Map<string, number>, zone: string, tasks: number): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasks);
}

/** Takes victims off the machine's list: they are being stopped already. */
export function removeVictims(machine: MachineView, removed: VictimView[]): void {
  const remaining = machine.victims().filter((victim) => !removed.includes(victim));
  machine.victims = () => remaining;
}

function machinesWithRoom({ jobs, machines }: PlacementInput): MachineView[] {
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

/** Tasks that are placed later in the cycle see the fetch that this one begins. */
function expectFetch(machine: MachineView, spec: JobSpec): void {
  if (machine.images.has(spec.image)) return;
  if (!machine.fetching.has(spec.image)) machine.backlogGb += spec.imageGb;
  machine.fetching.add(spec.image);
  machine.fetchPriority = Math.max(machine.fetchPriority, spec.priority);
}
