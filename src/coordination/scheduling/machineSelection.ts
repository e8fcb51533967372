/** Selects machines for tasks in order of placement cost. */
import type { JobSpec } from "../../protocol/model.js";
import type { CycleState, SelectedMachine } from "./cycleState.js";
import { addResources, allowsPlacement, fits, zoneTaskCapacity } from "./fitting.js";
import { fetchDelayS, placementCost, placeableTasks } from "./placementCost.js";
import { addZoneTasks } from "./tasksByZone.js";
import type { JobView, MachineView } from "./views.js";

/** A task may backfill reserved resources only if this multiple of its expected duration ends before the job starts. */
const BACKFILL_FACTOR = 1.3;
/** Further margin, in seconds, between the end of a backfilling task and the start of the reserving job. */
const BACKFILL_MARGIN_S = 2;

/** Restrictions on the machines that are considered for a job. */
export interface SelectionLimits {
  /** Longest acceptable image fetch delay, in seconds; Infinity means no limit. */
  fetchWithinS: number;
  /** The only zone considered, or null for all zones. */
  zone: string | null;
}

/** Considers machines of all zones, regardless of the image fetch delay. */
export const NO_SELECTION_LIMITS: SelectionLimits = { fetchWithinS: Infinity, zone: null };

interface Candidate {
  machine: MachineView;
  cost: number;
}

/** Selects machines for a job's tasks among the cycle's candidate machines, lowest placement cost first. */
export class MachineSelection {
  /**
   * Specs that fit on no machine. Capacity, including reservations, only shrinks within a cycle, so jobs that request
   * at least as much are skipped without a search.
   */
  private readonly unplaceableSpecs: JobSpec[] = [];

  constructor(private readonly state: CycleState) {}

  /**
   * Selects machines for up to `wanted` tasks without planning them. Releases the reservations that the job may
   * backfill.
   */
  select(job: JobView, wanted: number, limits: SelectionLimits): SelectedMachine[] {
    if (this.isUnplaceable(job.spec)) return [];
    const candidates = this.candidates(job, limits);
    candidates.sort(byCost);
    const selected: SelectedMachine[] = [];
    const tasksByZone = new Map(job.tasksByZone);
    let remaining = wanted;
    for (const { machine } of candidates) {
      if (remaining <= 0) break;
      const tasks = Math.min(
        remaining,
        placeableTasks(job.spec, machine),
        zoneTaskCapacity(job.spec, tasksByZone, machine.zone),
      );
      if (tasks <= 0) continue;
      addZoneTasks(tasksByZone, machine.zone, tasks);
      selected.push({ machine, tasks });
      remaining -= tasks;
    }
    return selected;
  }

  private candidates(job: JobView, limits: SelectionLimits): Candidate[] {
    const { spec } = job;
    const { candidateMachines, plan, input } = this.state;
    const candidates: Candidate[] = [];
    let fitsSomewhere = false;
    plan.machinesExamined += candidateMachines.length;
    for (const machine of candidateMachines) {
      if (!fits(spec, machine.free)) {
        if (!machine.reserved) continue;
        fitsSomewhere = true;
        if (!canBackfill(job, machine, limits.zone)) continue;
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
        (other.types === null || areSameTypes(other.types, spec.types)) &&
        (other.zone === null || other.zone === spec.zone),
    );
  }
}

function areSameTypes(types: readonly string[], others: readonly string[] | null): boolean {
  return types.length === others?.length && types.every((type, index) => type === others[index]);
}

function byCost(left: Candidate, right: Candidate): number {
  return left.cost - right.cost || (left.machine.name < right.machine.name ? -1 : 1);
}

/** Returns true if the job's task fits with the reserved resources and should end before the reserving job starts. */
function canBackfill(job: JobView, machine: MachineView, zone: string | null): boolean {
  const { spec } = job;
  const { reserved } = machine;
  const endsInS = job.expectedTaskRunTimeS + fetchDelayS(spec, machine);
  if (!reserved || reserved.etaS < endsInS * BACKFILL_FACTOR + BACKFILL_MARGIN_S) return false;
  const available = { ...machine.free };
  addResources(available, reserved.amount);
  return (
    fits(spec, available) &&
    allowsPlacement(spec, machine.type.name, machine.zone, machine.spot) &&
    (zone === null || machine.zone === zone)
  );
}

function isWithinLimits(job: JobView, machine: MachineView, limits: SelectionLimits): boolean {
  if (limits.zone !== null && machine.zone !== limits.zone) return false;
  if (job.avoidedMachines.has(machine.name) || mustDeferFetch(job.spec, machine)) return false;
  return fetchDelayS(job.spec, machine) <= limits.fetchWithinS;
}

/**
 * Fetches share bandwidth: a job must not start a new fetch while a task of higher priority waits for an image there.
 */
function mustDeferFetch(spec: JobSpec, machine: MachineView): boolean {
  return (
    machine.fetchPriority > spec.priority &&
    !machine.images.has(spec.image) &&
    !machine.fetching.has(spec.image)
  );
}
