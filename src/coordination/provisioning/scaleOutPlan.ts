/** The decision which machines to order for work that found no place. */
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
import { machineKindKey, purchaseKinds, type ScaleOutTarget } from "./machineOrders.js";

/**
 * Capacity is not bought at more than this many times what the cheapest on-demand capacity costs: beyond it, waiting is
 * the better bargain, however urgent the work.
 */
const MAX_PRICE_FACTOR = 3;
/** A machine that takes this long to boot counts as twice as expensive as one that is up at once. */
const BOOT_PENALTY_S = 100;
/** Costs this close are equal: the first candidate stays, whatever rounding says. */
const COST_TOLERANCE = 1e-9;

/** Tasks of a job that found no place. */
export interface UnplacedTasks {
  job: JobView;
  tasks: number;
  /** The zone in which the rest of a gang is wanted; null: any. */
  zone: string | null;
}

/** What a plan to scale out depends on. */
export interface ScaleOutInput {
  /** In the order in which they are served. */
  unplaced: UnplacedTasks[];
  types: MachineType[];
  /** Machines that are booting or ordered. The plan takes room out of them. */
  incoming: MachineView[];
  /** The cloud has lately had no machine of that kind. */
  isRefused: (type: string, zone: string, spot: boolean) => boolean;
  /** The most machines that the plan may ask for. */
  maxMachines: number;
  /** What each accelerator there keeps beside it for GPU work; null: no GPU work may be placed there. */
  acceleratorReserve: (type: MachineType, spot: boolean) => AcceleratorReserve | null;
}

/**
 * What to order for the work that found no place: first the machines that are booting or ordered are filled, and only
 * what is still left orders more, at the lowest price for each task that the machine would really hold. Pure, but for the
 * snapshots in `incoming`.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutTarget[] {
  return new ScaleOutPlanner(input).plan();
}

/** What one job still needs, while the plan is made. */
interface Demand {
  spec: JobSpec;
  tasks: number;
  onlyZone: string | null;
  tasksByZone: Map<string, number>;
  maxPricePerTask: number;
}

/** A kind of machine to order, with what it costs for each task that it would hold. */
interface Offer {
  type: MachineType;
  zone: string;
  spot: boolean;
  cost: number;
}

class ScaleOutPlanner {
  private readonly targets = new Map<string, ScaleOutTarget>();
  /** Those on their way, and those that this plan orders. */
  private readonly futureMachines: MachineView[];
  private orderedMachines = 0;

  constructor(private readonly input: ScaleOutInput) {
    this.futureMachines = [...input.incoming];
  }

  plan(): ScaleOutTarget[] {
    for (const { job, tasks, zone } of this.input.unplaced) {
      const { spec, zones } = job;
      const maxPricePerTask = MAX_PRICE_FACTOR * lowestOnDemandPrice(spec, this.input.types);
      const demand = { spec, tasks, onlyZone: zone, tasksByZone: new Map(zones), maxPricePerTask };
      this.fillFutureMachines(demand);
      this.orderMachines(demand);
    }
    return [...this.targets.values()];
  }

  private fillFutureMachines(demand: Demand): void {
    const { spec, onlyZone } = demand;
    for (const machine of this.futureMachines) {
      if (demand.tasks <= 0) break;
      if (spec.gpus === 0 && machine.acceleratorReserve) continue;
      if (onlyZone !== null && machine.zone !== onlyZone) continue;
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      if (fits(spec, machine.free)) fill(machine, demand);
    }
  }

  private orderMachines(demand: Demand): void {
    while (demand.tasks > 0 && this.orderedMachines < this.input.maxMachines) {
      const offer = this.cheapestOffer(demand);
      if (!offer) return;
      fill(this.order(offer), demand);
    }
  }

  private order({ type, zone, spot }: Offer): MachineView {
    const key = machineKindKey(type.name, zone, spot);
    const target = this.targets.get(key) ?? { type: type.name, zone, spot, count: 0 };
    target.count++;
    this.targets.set(key, target);
    this.orderedMachines++;
    const machine = emptyMachineView(type, zone, spot, this.input.acceleratorReserve(type, spot));
    this.futureMachines.push(machine);
    return machine;
  }

  /** The cheapest kind of machine for the demand; of equal ones the first by type, zone and spot. Null: none will do. */
  private cheapestOffer(demand: Demand): Offer | null {
    let cheapest: Offer | null = null;
    for (const type of this.input.types) {
      const heldTasks = fittingTasks(demand.spec, type);
      if (heldTasks <= 0) continue;
      for (const zone of type.zones) cheapest = this.cheaperInZone(demand, type, heldTasks, zone, cheapest);
    }
    return cheapest;
  }

  /** The cheapest offer so far, or one of that type and zone that is cheaper. */
  private cheaperInZone(
    demand: Demand,
    type: MachineType,
    heldTasks: number,
    zone: string,
    cheapest: Offer | null,
  ): Offer | null {
    const { spec, onlyZone } = demand;
    if (onlyZone !== null && zone !== onlyZone) return cheapest;
    const room = zoneTaskCapacity(spec, demand.tasksByZone, zone);
    if (room <= 0) return cheapest;
    const usedTasks = Math.min(heldTasks, demand.tasks, room);
    for (const spot of purchaseKinds(spec)) {
      if (!this.isAvailable(spec, type, zone, spot)) continue;
      const price = spot ? type.spotPrice : type.price;
      if (price / heldTasks > demand.maxPricePerTask) continue;
      const cost = (price / usedTasks) * (1 + type.bootS / BOOT_PENALTY_S);
      if (!cheapest || cost < cheapest.cost - COST_TOLERANCE) cheapest = { type, zone, spot, cost };
    }
    return cheapest;
  }

  /** The job may run there, the cloud has not refused it, and no GPU work claims the machine. */
  private isAvailable(spec: JobSpec, type: MachineType, zone: string, spot: boolean): boolean {
    if (!allowsPlacement(spec, type.name, zone, spot) || this.input.isRefused(type.name, zone, spot))
      return false;
    return spec.gpus > 0 || type.gpus === 0 || !this.input.acceleratorReserve(type, spot);
  }
}

/** Puts as much of the demand on the machine as it holds. */
function fill(machine: MachineView, demand: Demand): void {
  const { spec, tasksByZone } = demand;
  const tasks = Math.min(
    demand.tasks,
    fittingTasks(spec, machine.free),
    zoneTaskCapacity(spec, tasksByZone, machine.zone),
  );
  if (tasks <= 0) return;
  subtractTasks(machine.free, spec, tasks);
  tasksByZone.set(machine.zone, (tasksByZone.get(machine.zone) ?? 0) + tasks);
  demand.tasks -= tasks;
}

/** Lowest on-demand price of the capacity for one task; Infinity: no type holds one. */
function lowestOnDemandPrice(spec: JobSpec, types: readonly MachineType[]): number {
  let lowest = Infinity;
  for (const type of types) {
    const heldTasks = fittingTasks(spec, type);
    if (heldTasks > 0 && (spec.types === null || spec.types.includes(type.name)))
      lowest = Math.min(lowest, type.price / heldTasks);
  }
  return lowest;
}
