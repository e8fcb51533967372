/**
 * How well a machine suits a job's tasks, and how many of them it takes. Pure. Runs once for each candidate, so nothing
 * here allocates without need.
 */
import type { JobSpec } from "../../protocol/model.js";
import { fittingTasks } from "./fitting.js";
import type { JobView, MachineView } from "./views.js";

/** What the difference between an ordinary machine's price and a spot one's is worth to a gang at the most, in seconds. */
const GANG_ON_DEMAND_COST_S = 40;
/** What an ordinary machine costs a job that may use spot instances: it is left to jobs that may not. */
const ON_DEMAND_COST_S = 4;
/** Seconds until a stopped gang runs again, if there is room. */
const GANG_RESTART_S = 20;
/** What the machine that consolidation prefers for a job is worth. */
const PREFERRED_MACHINE_GAIN_S = 10;
/** What a machine with accelerators costs a job without. */
const UNUSED_GPU_COST_S = 8;
/** What a zone without controllers costs a service: when it is cut off, its machines' leases run out. */
const NO_CONTROLLER_COST_S = 3;
/** A machine that holds more of a service's tasks than this is a large one to it. */
const LARGE_MACHINE_TASKS = 16;
/** Tasks beyond that number which cost one second more. */
const LARGE_MACHINE_TASKS_PER_S = 3;
const MAX_LARGE_MACHINE_COST_S = 6;
/** Price per hour which costs one second more. */
const PRICE_PER_S = 2.5;
const MAX_PRICE_COST_S = 12;
/** Milliseconds of idleness which cost one second more. */
const IDLE_MS_PER_S = 5000;
const MAX_IDLE_COST_S = 4;
/** What an empty machine costs more than a full one. */
const EMPTY_MACHINE_COST_S = 2;
/** Least price and size to divide by. */
const MIN_PRICE = 1e-9;
const MIN_CPUS = 1e-6;
const S_PER_HOUR = 3600;

/** Seconds that a task would wait for its image there. */
export function fetchDelayS(spec: JobSpec, machine: MachineView): number {
  if (machine.images.has(spec.image)) return 0;
  const rate = machine.type.fetchGbPerS;
  if (machine.fetching.has(spec.image)) return machine.backlogGb / rate;
  return (machine.backlogGb + spec.imageGb) / rate;
}

/** What the cost of a placement depends on besides the job and the machine. */
interface CostInput {
  nowMs: number;
  /** How often a spot instance is interrupted in an hour. */
  interruptionsPerHour: number;
}

/** The cost of placing one task of the job on the machine, roughly in seconds; lower is better, and it may be negative. */
export function placementCost(job: JobView, machine: MachineView, input: CostInput): number {
  const { spec } = job;
  const { type } = machine;
  let cost = fetchDelayS(spec, machine);
  if (job.preferredMachine === machine.name) cost -= PREFERRED_MACHINE_GAIN_S;
  if (spec.spot) cost += purchaseCost(job, machine, input.interruptionsPerHour);
  if (spec.gpus === 0 && type.gpus > 0) cost += UNUSED_GPU_COST_S;
  if (spec.kind === "service") {
    if (!machine.zoneHasController) cost += NO_CONTROLLER_COST_S;
    cost += largeMachineCost(spec, machine);
  }
  // Expensive machines last, so that they are the ones that become empty and are released.
  cost += Math.min(MAX_PRICE_COST_S, (machine.spot ? type.spotPrice : type.price) / PRICE_PER_S);
  // A machine that has long been idle is left so, until it is released.
  if (machine.idleSinceMs !== null) {
    const idleMs = Math.max(0, input.nowMs - machine.idleSinceMs);
    cost += Math.min(MAX_IDLE_COST_S, idleMs / IDLE_MS_PER_S);
  }
  // Fuller machines first, so that whole machines stay empty and can be released.
  const load = 1 - machine.free.cpus / Math.max(type.cpus, MIN_CPUS);
  cost += (1 - load) * EMPTY_MACHINE_COST_S;
  return cost;
}

/** What the machine's purchase kind costs a job that may use spot instances. */
function purchaseCost(job: JobView, machine: MachineView, interruptionsPerHour: number): number {
  const { spec } = job;
  if (spec.kind !== "gang") return machine.spot ? 0 : ON_DEMAND_COST_S;
  if (!machine.spot) {
    const priceRatio = machine.type.spotPrice / Math.max(machine.type.price, MIN_PRICE);
    return GANG_ON_DEMAND_COST_S * (1 - priceRatio);
  }
  // A gang stops whole when one of its machines is interrupted: the larger it is, the more an ordinary one is worth.
  const lostS = GANG_RESTART_S + spec.checkpointS / 2;
  return (interruptionsPerHour / S_PER_HOUR) * job.taskS * spec.tasks * lostS;
}

/** A service stays, and with it its machine: on a large one it would pay for all the room around it. */
function largeMachineCost(spec: JobSpec, machine: MachineView): number {
  const excessTasks = Math.max(0, fittingTasks(spec, machine.type) - LARGE_MACHINE_TASKS);
  return Math.min(MAX_LARGE_MACHINE_COST_S, excessTasks / LARGE_MACHINE_TASKS_PER_S);
}

/**
 * The number of the job's tasks that the machine takes. Where GPU work may come, other tasks leave enough beside the free
 * accelerators for it, come only while the machine is paid for anyway, and never stay for good: a service on such a
 * machine would keep it at many times the price of its room.
 */
export function roomFor(spec: JobSpec, machine: MachineView): number {
  const { free, acceleratorReserve } = machine;
  const tasks = fittingTasks(spec, free);
  if (tasks === 0 || spec.gpus > 0 || machine.type.gpus === 0 || !acceleratorReserve) return tasks;
  if (spec.kind === "service" || !machine.runsGpuWork) return 0;
  const unreserved = {
    cpus: free.cpus - free.gpus * acceleratorReserve.cpus,
    gpus: 0,
    memoryGb: free.memoryGb - free.gpus * acceleratorReserve.memoryGb,
  };
  return Math.min(tasks, fittingTasks(spec, unreserved));
}
