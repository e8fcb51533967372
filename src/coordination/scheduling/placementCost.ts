/** How well a machine suits a job's tasks, and how many of them it takes. Pure. */
import type { JobSpec } from "../../protocol/model.js";
import { fittingTasks } from "./fitting.js";
import type { JobView, MachineView } from "./views.js";

/** Seconds that a task would wait for its image there. */
export function fetchDelayS(spec: JobSpec, machine: MachineView): number {
  if (machine.images.has(spec.image)) return 0;
  const rate = machine.type.fetchGbPerS;
  if (machine.fetching.has(spec.image)) return machine.backlogGb / rate;
  return (machine.backlogGb + spec.imageGb) / rate;
}

/** What an ordinary machine costs more than a spot one weighs so many seconds of a gang's start at the most. */
const GANG_SPOT_S = 40;
/** Seconds until a stopped gang runs again, if there is room. */
const RESTART_S = 20;
/** A machine that holds more of a service's tasks than this is a large one to it. */
const ROOMY = 16;

/** What the cost of a place depends on besides the job and the machine. */
interface CostInput {
  nowMs: number;
  /** How often a spot machine is taken in an hour. */
  interruptionsPerHour: number;
}

/** Lower is better; roughly seconds. */
export function placementCost(
  job: JobView,
  machine: MachineView,
  { nowMs, interruptionsPerHour }: CostInput,
): number {
  const { spec } = job;
  let c = fetchDelayS(spec, machine);
  if (job.preferredMachine === machine.name) c -= 10;
  // Cheap machines for whoever may use them: the others are left to those who may not.
  if (spec.spot && spec.kind === "gang") {
    // A gang stops whole when one of its machines is taken: the larger it is, the more an ordinary one is worth.
    if (machine.spot)
      c += (interruptionsPerHour / 3600) * job.taskS * spec.tasks * (RESTART_S + spec.checkpointS / 2);
    else c += GANG_SPOT_S * (1 - machine.type.spotPrice / Math.max(machine.type.price, 1e-9));
  } else if (spec.spot && !machine.spot) c += 4;
  if (spec.gpus === 0 && machine.type.gpus > 0) c += 8;
  // A zone without controllers is silent when it is cut off, and its leases run out.
  if (spec.kind === "service" && !machine.zoneHasController) c += 3;
  // A service stays, and with it its machine: on a large one it would pay for all the room around it.
  if (spec.kind === "service") c += Math.min(6, Math.max(0, fittingTasks(spec, machine.type) - ROOMY) / 3);
  // Dear machines last, so that they are the ones that empty and are given back.
  c += Math.min(12, (machine.spot ? machine.type.spotPrice : machine.type.price) / 2.5);
  // What has been idle longest is left idle, until it is given back.
  if (machine.idleSinceMs !== null) c += Math.min(4, Math.max(0, nowMs - machine.idleSinceMs) / 5000);
  // Fuller machines first, so that whole machines stay empty and can be given back.
  const load = 1 - machine.free.cpus / Math.max(machine.type.cpus, 1e-6);
  c += (1 - load) * 2;
  return c;
}

/**
 * How many tasks the machine takes. Where work with accelerators may come, other tasks leave enough beside the
 * free ones for it, come only while the machine is paid for anyway, and never stay for good: a service on such a
 * machine would keep it rented at many times the price of its room.
 */
export function roomFor(spec: JobSpec, machine: MachineView): number {
  const n = fittingTasks(spec, machine.free);
  if (n === 0 || spec.gpus > 0 || machine.type.gpus === 0 || !machine.acceleratorReserve) return n;
  if (spec.kind === "service" || !machine.runsGpuWork) return 0;
  const spare = {
    cpus: machine.free.cpus - machine.free.gpus * machine.acceleratorReserve.cpus,
    gpus: 0,
    memoryGb: machine.free.memoryGb - machine.free.gpus * machine.acceleratorReserve.memoryGb,
  };
  return Math.min(n, fittingTasks(spec, spare));
}
