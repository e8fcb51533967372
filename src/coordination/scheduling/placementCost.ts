/**
 * The cost of placing a job's tasks on a machine, and the number of tasks that may be placed there. Pure functions that
 * run once for each candidate machine, so they avoid allocations.
 */
import type { JobSpec } from "../../protocol/model.js";
import { fittingTasks } from "./fitting.js";
import type { JobView, MachineView } from "./views.js";

/** Highest cost of an on-demand machine for a gang that may use spot instances; scaled by the spot discount. */
const GANG_ON_DEMAND_COST_S = 40;
/** Cost of an on-demand machine for a job that may use spot instances: such machines are left to jobs that may not. */
const ON_DEMAND_COST_S = 4;
/** Seconds until an interrupted gang runs again, provided that capacity is available. */
const GANG_RESTART_S = 20;
/** Cost reduction of the machine to which consolidation moves the job. */
const PREFERRED_MACHINE_BONUS_S = 10;
/** Cost of a machine with GPUs for a job that needs none. */
const UNUSED_GPU_COST_S = 8;
/**
 * Cost of a zone without controllers for a service: leases of its machines expire if a network partition cuts it off.
 */
const NO_CONTROLLER_COST_S = 3;
/** A machine that fits more of a service's tasks than this counts as large for the service. */
const LARGE_MACHINE_THRESHOLD_TASKS = 16;
/** Tasks above LARGE_MACHINE_THRESHOLD_TASKS that add one second of cost. */
const LARGE_MACHINE_TASKS_PER_S = 3;
const MAX_LARGE_MACHINE_COST_S = 6;
/** Price per hour that adds one second of cost. */
const PRICE_PER_S = 2.5;
const MAX_PRICE_COST_S = 12;
/** Milliseconds of idle time that add one second of cost. */
const IDLE_MS_PER_S = 5000;
const MAX_IDLE_COST_S = 4;
/** Additional cost of an empty machine compared with a full one. */
const EMPTY_MACHINE_COST_S = 2;
/** Lower bounds of divisors, which prevent division by zero. */
const MIN_PRICE = 1e-9;
const MIN_CPUS = 1e-6;
const S_PER_HOUR = 3600;

/**
 * Returns the seconds until the job's image is available on the machine, behind its pending fetches; 0 if it is there.
 */
export function fetchDelayS(spec: JobSpec, machine: MachineView): number {
  if (machine.images.has(spec.image)) return 0;
  const rate = machine.type.fetchGbPerS;
  if (machine.fetching.has(spec.image)) return machine.fetchBacklogGb / rate;
  return (machine.fetchBacklogGb + spec.imageGb) / rate;
}

/** Inputs of the placement cost besides the job and the machine. */
interface CostInput {
  nowMs: number;
  /** Expected interruptions of one spot instance per hour. */
  interruptionsPerHour: number;
}

/**
 * Returns the approximate cost, in seconds, of placing one task on the machine. Lower is better; it may be negative.
 */
export function placementCost(job: JobView, machine: MachineView, input: CostInput): number {
  const { spec } = job;
  const { type } = machine;
  let cost = fetchDelayS(spec, machine);
  if (job.preferredMachine === machine.name) cost -= PREFERRED_MACHINE_BONUS_S;
  if (spec.spot) cost += purchaseOptionCost(job, machine, input.interruptionsPerHour);
  if (spec.gpus === 0 && type.gpus > 0) cost += UNUSED_GPU_COST_S;
  if (spec.kind === "service") {
    if (!machine.zoneHasController) cost += NO_CONTROLLER_COST_S;
    cost += largeMachineCost(spec, machine);
  }
  // Expensive machines are used last, so that they become empty and are scaled in.
  cost += Math.min(MAX_PRICE_COST_S, (machine.spot ? type.spotPrice : type.price) / PRICE_PER_S);
  // A machine that has been idle for long is left idle until it is scaled in.
  if (machine.idleSinceMs !== null) {
    const idleMs = Math.max(0, input.nowMs - machine.idleSinceMs);
    cost += Math.min(MAX_IDLE_COST_S, idleMs / IDLE_MS_PER_S);
  }
  // Fuller machines are used first, so that other machines stay empty and can be scaled in.
  const load = 1 - machine.free.cpus / Math.max(type.cpus, MIN_CPUS);
  cost += (1 - load) * EMPTY_MACHINE_COST_S;
  return cost;
}

/** Returns the cost of the machine's purchase option, on-demand or spot, for a job that may use spot instances. */
function purchaseOptionCost(job: JobView, machine: MachineView, interruptionsPerHour: number): number {
  const { spec } = job;
  if (spec.kind !== "gang") return machine.spot ? 0 : ON_DEMAND_COST_S;
  if (!machine.spot) {
    const priceRatio = machine.type.spotPrice / Math.max(machine.type.price, MIN_PRICE);
    return GANG_ON_DEMAND_COST_S * (1 - priceRatio);
  }
  // The whole gang stops if one of its machines is interrupted, so the cost of spot grows with the gang's size.
  const lostS = GANG_RESTART_S + spec.checkpointS / 2;
  return (interruptionsPerHour / S_PER_HOUR) * job.expectedTaskRunTimeS * spec.tasks * lostS;
}

/**
 * Returns the cost of a large machine for a service: a long-running service keeps all of the machine's capacity paid
 * for.
 */
function largeMachineCost(spec: JobSpec, machine: MachineView): number {
  const excessTasks = Math.max(0, fittingTasks(spec, machine.type) - LARGE_MACHINE_THRESHOLD_TASKS);
  return Math.min(MAX_LARGE_MACHINE_COST_S, excessTasks / LARGE_MACHINE_TASKS_PER_S);
}

/**
 * Returns how many of the job's tasks may be placed on the machine. On a machine where GPU jobs may be placed, other
 * tasks must leave the accelerator reserve of its free GPUs and are placed only while GPU tasks keep the machine in use
 * anyway. Services without GPUs are excluded: they would keep the machine at many times the price of the capacity they
 * use.
 */
export function placeableTasks(spec: JobSpec, machine: MachineView): number {
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
