/** Chooses machines for tasks, cheapest placement first. */
import type { JobSpec } from "../../protocol/model.js";
import { countInZone, type CycleState, type SelectedMachine } from "./cycleState.js";
import { addResources, allowsPlacement, fits, zoneRoom } from "./fitting.js";
import { fetchDelayS, placementCost, roomFor } from "./placementCost.js";
import type { JobView, MachineView } from "./views.js";

/** A task may run on resources that are reserved for another job if it should end so many times earlier, … */
const BORROWING_FACTOR = 1.3;
/** … and so many seconds earlier, than that job expects to begin. */
const BORROWING_MARGIN_S = 2;

/** Limits on the machines that are considered for a job. */
export interface SelectionLimits {
  /** Seconds that a task may wait for its image there. */
  fetchWithinS: number;
  /** The only zone that counts; null: all. */
  zone: string | null;
}

/** Every machine counts, however long the image takes to arrive. */
export const ANY_MACHINE: SelectionLimits = { fetchWithinS: Infinity, zone: null };

interface Candidate {
  machine: MachineView;
  cost: number;
}

/** Selects the machines for a job's tasks among those with room, the cheapest placement first. */
export class MachineSelection {
  /** Specs that fitted nowhere: in one cycle room only shrinks, so what asks for no less fits nowhere either. */
  private readonly unplaceableSpecs: JobSpec[] = [];

  constructor(private readonly state: CycleState) {}

  /** Machines for up to `wanted` tasks. Nothing is planned yet, but reservations that the job may borrow are released. */
  select(job: JobView, wanted: number, limits: SelectionLimits): SelectedMachine[] {
    if (this.isUnplaceable(job.spec)) return [];
    const candidates = this.candidates(job, limits);
    candidates.sort(byCost);
    const selected: SelectedMachine[] = [];
    const tasksByZone = new Map(job.zones);
    let missing = wanted;
    for (const { machine } of candidates) {
      if (missing <= 0) break;
      const tasks = Math.min(
        missing,
        roomFor(job.spec, machine),
        zoneRoom(job.spec, tasksByZone, machine.zone),
      );
      if (tasks <= 0) continue;
      countInZone(tasksByZone, machine.zone, tasks);
      selected.push({ machine, tasks });
      missing -= tasks;
    }
    return selected;
  }

  private candidates(job: JobView, limits: SelectionLimits): Candidate[] {
    const { spec } = job;
    const { openMachines, plan, input } = this.state;
    const candidates: Candidate[] = [];
    let fitsSomewhere = false;
    plan.machinesExamined += openMachines.length;
    for (const machine of openMachines) {
      if (!fits(spec, machine.free)) {
        if (!machine.reserved) continue;
        fitsSomewhere = true;
        if (!canBorrowReserved(job, machine, limits.zone)) continue;
        this.state.releaseReservation(machine);
      }
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      fitsSomewhere = true;
      if (!isWithinLimits(job, machine, limits)) continue;
      candidates.push({ machine, cost: placementCost(job, machine, input) });
    }
    if (!fitsSomewhere) this.unplaceableSpecs.push(spec);
    return candidates;
  }

  private isUnplaceable(spec: JobSpec): boolean {
    return this.unplaceableSpecs.some(
      (other) =>
        other.cpus <= spec.cpus &&
        other.gpus <= spec.gpus &&
        other.memoryGb <= spec.memoryGb &&
        (other.spot || !spec.spot) &&
        (other.types === null || other.types.join() === spec.types?.join()) &&
        (other.zone === null || other.zone === spec.zone),
    );
  }
}

function byCost(left: Candidate, right: Candidate): number {
  return left.cost - right.cost || (left.machine.name < right.machine.name ? -1 : 1);
}

/** Resources reserved for another job may be used by a task that ends before that job begins. */
function canBorrowReserved(job: JobView, machine: MachineView, zone: string | null): boolean {
  const { spec } = job;
  const { reserved } = machine;
  const endsInS = job.taskS + fetchDelayS(spec, machine);
  if (!reserved || reserved.etaS < endsInS * BORROWING_FACTOR + BORROWING_MARGIN_S) return false;
  const room = { ...machine.free };
  addResources(room, reserved.amount);
  return (
    fits(spec, room) &&
    allowsPlacement(spec, machine.type.name, machine.zone, machine.spot) &&
    (zone === null || machine.zone === zone)
  );
}

function isWithinLimits(job: JobView, machine: MachineView, limits: SelectionLimits): boolean {
  if (limits.zone !== null && machine.zone !== limits.zone) return false;
  if (job.avoid.has(machine.name) || mustYieldFetch(job.spec, machine)) return false;
  return fetchDelayS(job.spec, machine) <= limits.fetchWithinS;
}

/** Fetches share the bandwidth: a job starts none of its own while one of higher priority waits for its image. */
function mustYieldFetch(spec: JobSpec, machine: MachineView): boolean {
  return (
    machine.fetchPriority > spec.priority &&
    !machine.images.has(spec.image) &&
    !machine.fetching.has(spec.image)
  );
}
