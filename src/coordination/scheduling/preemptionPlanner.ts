/** Makes room for a job by stopping lesser work, within the bounds of one cycle. */
import { countInZone, removeVictims, type CycleState } from "./cycleState.js";
import { addResources, allowsPlacement, ROUNDING_TOLERANCE, subtractTasks, zoneRoom } from "./fitting.js";
import { fetchDelayS } from "./placementCost.js";
import { mayEvict, victimsFor } from "./preemption.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** A second of lost work weighs as much as so many seconds of waiting for an image. */
const LOST_WORK_WEIGHT = 0.3;

/** A machine on which stopping others makes room for one more task; the cost is roughly in seconds. */
interface MachineOption {
  machine: MachineView;
  cost: number;
}

/** What is stopped on one machine, and the number of tasks that then fit there. */
interface Eviction {
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
 * Decides which running tasks a cycle stops, within the cycle's limits on evictions and on jobs that preempt: to make
 * room on machines (`makeRoom`), or under a team's quota (`freeQuota`).
 */
export class PreemptionPlanner {
  /** Shapes of jobs for which no eviction helps: in one cycle that stays so. */
  private readonly hopelessShapes = new Set<string>();
  private preemptingJobs = 0;

  constructor(private readonly state: CycleState) {}

  /**
   * Stops others so that up to `wanted` tasks of the job fit on machines where their image is there within
   * `fetchWithinS`, and reserves that room. For a gang it is all or nothing.
   * @returns the number of tasks that there will be room for
   */
  makeRoom(job: JobView, wanted: number, fetchWithinS: number): number {
    const { spec } = job;
    // The lowest priority preempts nothing, unless its team has less than its guarantee.
    if ((spec.priority === 0 && !job.isGuaranteed) || !this.mayPreempt(job)) return 0;
    const shape = roomShape(job);
    if (this.hopelessShapes.has(shape)) return 0;
    this.preemptingJobs++;
    const options = this.machineOptions(job, fetchWithinS, shape);
    if (options.length === 0) return 0;
    options.sort(byCost);
    const evictions = this.chooseEvictions(job, wanted, options);
    const tasks = evictions.reduce((total, eviction) => total + eviction.tasks, 0);
    if (tasks < wanted && spec.kind === "gang") return 0;
    for (const eviction of evictions) this.planEviction(job, eviction);
    this.state.input.quota.take(spec, tasks);
    return tasks;
  }

  /** Stops lesser work of the job's own team, so that this many more of its tasks come under the team's limit. */
  freeQuota(job: JobView, tasks: number): void {
    const { spec } = job;
    if (tasks <= 0 || job.waitTargetLeftS === null || !this.mayPreempt(job)) return;
    const shape = `quota ${spec.team} ${spec.priority}`;
    if (this.hopelessShapes.has(shape)) return;
    this.preemptingJobs++;
    const candidates = this.quotaVictims(job);
    if (candidates.length === 0) this.hopelessShapes.add(shape);
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
      removeVictims(machine, [victim]);
      this.state.evict(machine, victim, job);
    }
  }

  private mayPreempt(job: JobView): boolean {
    const { maxPreemptors, canPreemptFor } = this.state.input;
    return this.preemptingJobs < maxPreemptors && canPreemptFor(job);
  }

  private evictionsLeft(): number {
    return this.state.input.maxEvictions - this.state.plan.evictions.length;
  }

  /** Machines on which evictions make room; if there can be none for any job of that shape, the shape is hopeless. */
  private machineOptions(job: JobView, fetchWithinS: number, shape: string): MachineOption[] {
    const { spec } = job;
    const { input, plan } = this.state;
    const options: MachineOption[] = [];
    let hasSkipped = fetchWithinS < Infinity;
    plan.machinesExamined += input.machines.length;
    for (const machine of input.machines) {
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      if (spec.gpus === 0 && machine.type.gpus > 0 && machine.acceleratorReserve) continue;
      const delayS = fetchDelayS(spec, machine);
      if (delayS > fetchWithinS || isClosedTo(job, machine)) {
        hasSkipped = true;
        continue;
      }
      const found = victimsFor(job, machine, input);
      if (!found) continue;
      options.push({ machine, cost: delayS + found.lossS * LOST_WORK_WEIGHT + found.victims.length });
    }
    if (options.length === 0 && !hasSkipped) this.hopelessShapes.add(shape);
    return options;
  }

  private chooseEvictions(job: JobView, wanted: number, options: MachineOption[]): Eviction[] {
    const evictions: Eviction[] = [];
    const tasksByZone = new Map(job.zones);
    let missing = wanted;
    let evictionsLeft = this.evictionsLeft();
    for (const { machine } of options) {
      const eviction = this.chooseEvictionsOn(job, machine, missing, evictionsLeft, tasksByZone);
      if (eviction.tasks > 0) evictions.push(eviction);
      missing -= eviction.tasks;
      evictionsLeft -= eviction.victims.length;
      if (missing <= 0) break;
    }
    return evictions;
  }

  /**
   * Victims on one machine for up to `missing` tasks. The machine's resources are put back afterwards, but its victims
   * are offered to nobody else in this cycle.
   */
  private chooseEvictionsOn(
    job: JobView,
    machine: MachineView,
    missing: number,
    maxVictims: number,
    tasksByZone: Map<string, number>,
  ): Eviction {
    const { spec } = job;
    const freeBefore = { ...machine.free };
    const stoppingBefore = { ...machine.stopping };
    const eviction: Eviction = { machine, victims: [], tasks: 0 };
    while (eviction.tasks < missing && zoneRoom(spec, tasksByZone, machine.zone) > 0) {
      const found = victimsFor(job, machine, this.state.input);
      if (!found || eviction.victims.length + found.victims.length > maxVictims) break;
      eviction.victims.push(...found.victims);
      eviction.tasks++;
      subtractTasks(machine.free, spec, 1);
      for (const victim of found.victims) addResources(machine.stopping, victim);
      removeVictims(machine, found.victims);
      countInZone(tasksByZone, machine.zone, 1);
    }
    this.state.plan.modifiedMachines.add(machine);
    Object.assign(machine.free, freeBefore);
    Object.assign(machine.stopping, stoppingBefore);
    return eviction;
  }

  private planEviction(job: JobView, { machine, victims, tasks }: Eviction): void {
    for (const victim of victims) this.state.evict(machine, victim, job);
    // Nobody else may use the room in the meantime, least of all the jobs whose tasks were stopped for it.
    this.state.reserve(job, machine, tasks, 0);
    countInZone(job.zones, machine.zone, tasks);
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

/** What decides whether any eviction helps a job; the same for all jobs of that shape. */
function roomShape({ spec, isGuaranteed }: JobView): string {
  const { team, priority, cpus, gpus, memoryGb, zone, spot, types } = spec;
  return `${team} ${priority} ${isGuaranteed} ${cpus} ${gpus} ${memoryGb} ${zone} ${spot} ${types?.join()}`;
}

/** True if the job can't have the machine for a reason of its own, or of this moment: another job's may differ. */
function isClosedTo(job: JobView, machine: MachineView): boolean {
  return (
    job.avoid.has(machine.name) ||
    machine.reserved !== null ||
    zoneRoom(job.spec, job.zones, machine.zone) <= 0
  );
}

function byCost(left: MachineOption, right: MachineOption): number {
  return left.cost - right.cost || (left.machine.name < right.machine.name ? -1 : 1);
}
