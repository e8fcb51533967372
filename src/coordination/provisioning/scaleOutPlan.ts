/** Decides which machines to order for unplaced tasks. */
import type { JobSpec, MachineType } from "../../protocol/model.js";
import {
  allowsPlacement,
  fits,
  fittingTasks,
  subtractTasks,
  zoneTaskCapacity,
} from "../scheduling/fitting.js";
import type { AcceleratorReserve, JobView, MachineView } from "../scheduling/views.js";
import { emptyMachineView } from "../scheduling/views.js";
import { addZoneTasks } from "../scheduling/tasksByZone.js";
import { machineKindKey, purchaseOptions, type ScaleOutTarget } from "./machineOrders.js";

/**
 * The highest price per task to pay, as a multiple of the lowest on-demand price per task. At a higher price it is
 * better to wait, however urgent the task is.
 */
const MAX_PRICE_FACTOR = 3;
/** Boot time that doubles the cost of a machine, compared with one that boots at once. */
const BOOT_PENALTY_S = 100;
/** Costs that differ by less than this are equal, so that the first of equal offers is chosen despite rounding errors. */
const COST_TOLERANCE = 1e-9;

/** The tasks of a job that could not be placed. */
export interface UnplacedTasks {
  job: JobView;
  tasks: number;
  /** The zone in which the rest of a gang must run; null if any zone will do. */
  zone: string | null;
}

/** The input of a scale-out plan. */
export interface ScaleOutInput {
  /** Unplaced tasks, in the order in which the plan serves them. */
  unplaced: UnplacedTasks[];
  types: MachineType[];
  /** Machines that are booting or ordered. The plan subtracts the tasks that it assigns to them from their `free`. */
  incoming: MachineView[];
  /** Whether the cloud has recently refused to create machines of that kind. */
  isRefused: (type: string, zone: string, spot: boolean) => boolean;
  /** The most machines that the plan may order. */
  maxMachines: number;
  /** Resources that such a machine reserves per accelerator for GPU work; null if no GPU work may be placed on it. */
  acceleratorReserve: (type: MachineType, spot: boolean) => AcceleratorReserve | null;
}

/**
 * Decides which machines to order for the unplaced tasks. The plan first fills the machines that are booting or
 * ordered, and orders more only for the remaining tasks, at the lowest cost per task that a machine would run. Pure,
 * except that it changes the snapshots in `incoming`.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutTarget[] {
  return new ScaleOutPlanner(input).plan();
}

/** The tasks of one job that the plan has yet to assign to a machine. */
interface Demand {
  spec: JobSpec;
  tasks: number;
  requiredZone: string | null;
  tasksByZone: Map<string, number>;
  maxPricePerTask: number;
}

/** A kind of machine that the plan may order. */
interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Price per task that the machine would run, raised by the boot penalty. */
  cost: number;
}

class ScaleOutPlanner {
  private readonly targets = new Map<string, ScaleOutTarget>();
  /** Machines that are booting or ordered, including those that this plan orders. */
  private readonly futureMachines: MachineView[];
  private orderedMachines = 0;

  constructor(private readonly input: ScaleOutInput) {
    this.futureMachines = [...input.incoming];
  }

  plan(): ScaleOutTarget[] {
    for (const { job, tasks, zone } of this.input.unplaced) {
      const { spec, tasksByZone } = job;
      const maxPricePerTask = MAX_PRICE_FACTOR * lowestOnDemandPrice(spec, this.input.types);
      const demand = { spec, tasks, requiredZone: zone, tasksByZone: new Map(tasksByZone), maxPricePerTask };
      this.fillFutureMachines(demand);
      this.orderMachines(demand);
    }
    return [...this.targets.values()];
  }

  private fillFutureMachines(demand: Demand): void {
    const { spec, requiredZone } = demand;
    for (const machine of this.futureMachines) {
      if (demand.tasks <= 0) break;
      if (spec.gpus === 0 && machine.acceleratorReserve) continue;
      if (requiredZone !== null && machine.zone !== requiredZone) continue;
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      if (fits(spec, machine.free)) assignTasks(machine, demand);
    }
  }

  private orderMachines(demand: Demand): void {
    while (demand.tasks > 0 && this.orderedMachines < this.input.maxMachines) {
      const offer = this.cheapestOffer(demand);
      if (!offer) return;
      assignTasks(this.orderMachine(offer), demand);
    }
  }

  private orderMachine({ type, zone, spot }: Offer): MachineView {
    const key = machineKindKey(type.name, zone, spot);
    const target = this.targets.get(key) ?? { type: type.name, zone, spot, count: 0 };
    target.count++;
    this.targets.set(key, target);
    this.orderedMachines++;
    const machine = emptyMachineView(type, zone, spot, this.input.acceleratorReserve(type, spot));
    this.futureMachines.push(machine);
    return machine;
  }

  /** The cheapest offer for the demand; among equal ones the first by type, zone and spot. Null if there is none. */
  private cheapestOffer(demand: Demand): Offer | null {
    let cheapest: Offer | null = null;
    for (const type of this.input.types) {
      const tasksPerMachine = fittingTasks(demand.spec, type);
      if (tasksPerMachine <= 0) continue;
      for (const zone of type.zones)
        cheapest = this.cheaperOfferInZone(demand, type, tasksPerMachine, zone, cheapest);
    }
    return cheapest;
  }

  /** Returns an offer of that type and zone if one is cheaper than the cheapest so far, else the cheapest so far. */
  private cheaperOfferInZone(
    demand: Demand,
    type: MachineType,
    tasksPerMachine: number,
    zone: string,
    cheapest: Offer | null,
  ): Offer | null {
    const { spec, requiredZone } = demand;
    if (requiredZone !== null && zone !== requiredZone) return cheapest;
    const room = zoneTaskCapacity(spec, demand.tasksByZone, zone);
    if (room <= 0) return cheapest;
    const assignedTasks = Math.min(tasksPerMachine, demand.tasks, room);
    for (const spot of purchaseOptions(spec)) {
      if (!this.isAvailable(spec, type, zone, spot)) continue;
      const price = spot ? type.spotPrice : type.price;
      if (price / tasksPerMachine > demand.maxPricePerTask) continue;
      const cost = (price / assignedTasks) * (1 + type.bootS / BOOT_PENALTY_S);
      if (!cheapest || cost < cheapest.cost - COST_TOLERANCE) cheapest = { type, zone, spot, cost };
    }
    return cheapest;
  }

  /** Whether the job may run on that kind, the cloud has not refused the kind, and it is not reserved for GPU work. */
  private isAvailable(spec: JobSpec, type: MachineType, zone: string, spot: boolean): boolean {
    if (!allowsPlacement(spec, type.name, zone, spot) || this.input.isRefused(type.name, zone, spot))
      return false;
    return spec.gpus > 0 || type.gpus === 0 || !this.input.acceleratorReserve(type, spot);
  }
}

/** Assigns as many tasks of the demand to the machine as fit on it and its zone allows. */
function assignTasks(machine: MachineView, demand: Demand): void {
  const { spec, tasksByZone } = demand;
  const tasks = Math.min(
    demand.tasks,
    fittingTasks(spec, machine.free),
    zoneTaskCapacity(spec, tasksByZone, machine.zone),
  );
  if (tasks <= 0) return;
  subtractTasks(machine.free, spec, tasks);
  addZoneTasks(tasksByZone, machine.zone, tasks);
  demand.tasks -= tasks;
}

/** The lowest on-demand price per task among the types that the job may use; Infinity if none of them fits a task. */
function lowestOnDemandPrice(spec: JobSpec, types: readonly MachineType[]): number {
  let lowest = Infinity;
  for (const type of types) {
    const tasksPerMachine = fittingTasks(spec, type);
    if (tasksPerMachine > 0 && (spec.types === null || spec.types.includes(type.name)))
      lowest = Math.min(lowest, type.price / tasksPerMachine);
  }
  return lowest;
}
