/** Places gangs: all tasks of one at once, in one zone where the job asks for it, or none. */
import type { JobSpec } from "../../protocol/model.js";
import type { CycleState, SelectedMachine } from "./cycleState.js";
import { allowsPlacement, fits, fittingTasks, subtractTasks } from "./fitting.js";
import type { MachineSelection } from "./machineSelection.js";
import { placementCost } from "./placementCost.js";
import type { PreemptionPlanner } from "./preemptionPlanner.js";
import type { JobView, MachineView } from "./views.js";

/** Seconds of a start that one more place left in a zone is worth to a gang that comes later. */
const SPARE_PLACE_VALUE_S = 0.2;
/** A gang whose team is at its limit should begin within this: what ends sooner may borrow its room. */
const QUOTA_WAIT_S = 5;
/** A gang whose last machines are booting should begin within this. */
const INCOMING_WAIT_S = 20;

/** The parts of a cycle that place a gang. */
export interface GangPlacementContext {
  state: CycleState;
  selection: MachineSelection;
  preemption: PreemptionPlanner;
}

/** A zone that holds the whole gang now; `zone`: null if its tasks may be in several. */
interface CompleteOption {
  selected: SelectedMachine[];
  cost: number;
}

/** A zone that holds a part of the gang now, and more once the machines on their way are up. */
interface PartialOption {
  zone: string | null;
  tasksNow: number;
  tasksIncoming: number;
  score: number;
}

/**
 * Places gangs: a gang starts whole or not at all, in one zone if it asks for that. Room for a part of it is reserved
 * while the machines for the rest are on their way, or once the gang has waited long: otherwise smaller jobs would take
 * every machine that comes free, for ever.
 */
export class GangPlacement {
  constructor(private readonly context: GangPlacementContext) {}

  /** Places a gang whose team may start `quotaRoom` more tasks of its shape. */
  place(job: JobView, quotaRoom: number): void {
    const { state, preemption } = this.context;
    const wanted = job.spec.tasks;
    const isWithinQuota = quotaRoom >= wanted;
    const { complete, partial } = this.options(job);
    if (complete) {
      if (isWithinQuota) state.planStarts(job, complete.selected);
      else this.awaitQuota(job, complete.selected);
      return;
    }
    if (isWithinQuota && preemption.makeRoom(job, wanted, Infinity) >= wanted) return;
    if (partial) this.awaitRest(job, partial, isWithinQuota);
    else state.leaveUnplaced(job, wanted, null);
  }

  /** The cheapest zone that holds the whole gang, and the one that comes nearest to it. */
  private options(job: JobView): { complete: CompleteOption | null; partial: PartialOption | null } {
    const { spec } = job;
    const zones = spec.oneZone ? this.zonesFor(spec) : [null];
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

  /** Small gangs go where little is left, so that a large one finds enough in another zone. */
  private completeCost(job: JobView, selected: SelectedMachine[], zone: string | null): number {
    const wanted = job.spec.tasks;
    let cost = 0;
    for (const { machine, tasks } of selected) {
      cost += tasks * placementCost(job, machine, this.context.state.input);
    }
    return cost + (this.roomIn(job, zone) - wanted) * SPARE_PLACE_VALUE_S * wanted;
  }

  private partialOption(job: JobView, tasksNow: number, zone: string | null): PartialOption {
    const { spec } = job;
    const tasksIncoming = this.incomingRoom(job, spec.tasks - tasksNow, zone);
    const tasksMissing = spec.tasks - tasksNow - tasksIncoming;
    // Where the cloud has no capacity for the rest, the gang has to wait until other jobs end.
    const mustWait = tasksMissing > 0 && zone !== null && this.context.state.input.isRefused(spec, zone);
    const score = tasksNow + tasksIncoming - (mustWait ? spec.tasks : 0);
    return { zone, tasksNow, tasksIncoming, score };
  }

  /** There is room for the gang, but not yet under its team's limit: both are reserved for it. */
  private awaitQuota(job: JobView, selected: SelectedMachine[]): void {
    const { state, preemption } = this.context;
    const { quota } = state.input;
    preemption.freeQuota(job, job.spec.tasks - quota.roomWhenStopped(job.spec));
    for (const { machine, tasks } of selected) state.reserve(job, machine, tasks, QUOTA_WAIT_S);
    quota.take(job.spec, job.spec.tasks);
  }

  /** Counts on machines that are on their way, reserves what is there, and asks for what neither of them holds. */
  private awaitRest(job: JobView, option: PartialOption, isWithinQuota: boolean): void {
    const { state, selection } = this.context;
    const { zone, tasksNow, tasksIncoming } = option;
    const wanted = job.spec.tasks;
    const isComplete = tasksNow + tasksIncoming >= wanted;
    this.takeIncoming(job, wanted - tasksNow, zone);
    if (isWithinQuota && tasksNow > 0 && (isComplete || job.isStarving)) {
      const etaS = isComplete ? INCOMING_WAIT_S : this.freeInS(job, wanted - tasksNow, zone);
      const selected = selection.select(job, wanted, { fetchWithinS: Infinity, zone });
      for (const { machine, tasks } of selected) state.reserve(job, machine, tasks, etaS);
      // Nobody else of its team may use up its quota either.
      state.input.quota.take(job.spec, wanted);
    }
    if (!isComplete) state.leaveUnplaced(job, wanted - tasksNow - tasksIncoming, zone);
  }

  private zonesFor(spec: JobSpec): string[] {
    if (spec.zone !== null) return [spec.zone];
    const { machines, incoming } = this.context.state.input;
    const zones = new Set<string>();
    for (const machine of machines) if (machine.type.gpus >= spec.gpus) zones.add(machine.zone);
    for (const machine of incoming) zones.add(machine.zone);
    return [...zones];
  }

  /** Tasks that the zone's machines hold now. */
  private roomIn(job: JobView, zone: string | null): number {
    let tasks = 0;
    for (const machine of this.context.state.openMachines) {
      if (fits(job.spec, machine.free) && isAllowed(job.spec, machine, zone))
        tasks += fittingTasks(job.spec, machine.free);
    }
    return tasks;
  }

  /** Tasks, up to `wanted`, that the zone's machines will hold that are on their way. */
  private incomingRoom(job: JobView, wanted: number, zone: string | null): number {
    let tasks = 0;
    for (const machine of this.context.state.input.incoming) {
      if (tasks >= wanted) break;
      if (isAllowed(job.spec, machine, zone)) tasks += fittingTasks(job.spec, machine.free);
    }
    return Math.min(tasks, wanted);
  }

  /** Takes up to `wanted` tasks' room on machines that are on their way, so that no other gang counts on it too. */
  private takeIncoming(job: JobView, wanted: number, zone: string | null): void {
    let missing = wanted;
    for (const machine of this.context.state.input.incoming) {
      if (missing <= 0) break;
      if (!isAllowed(job.spec, machine, zone)) continue;
      const tasks = Math.min(missing, fittingTasks(job.spec, machine.free));
      subtractTasks(machine.free, job.spec, tasks);
      missing -= tasks;
    }
  }

  /** Seconds until as many of the zone's busy machines as the gang lacks should be free; 0: there are none. */
  private freeInS(job: JobView, missing: number, zone: string | null): number {
    const { machines, nowMs } = this.context.state.input;
    const timesS: number[] = [];
    for (const machine of machines) {
      if (!isAllowed(job.spec, machine, zone)) continue;
      if (fittingTasks(job.spec, machine.free) > 0 || !fits(job.spec, machine.type)) continue;
      timesS.push(machine.freeInS(nowMs));
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
