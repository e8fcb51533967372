import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { AcceleratorReserve, JobView, MachineView } from "../scheduling/views.js";
import { allowsPlacement, fits, fittingTasks, subtractTasks, zoneRoom } from "../scheduling/fitting.js";
import { emptyMachineView } from "../scheduling/views.js";

export interface ScaleOutTarget {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export interface ScaleOutInput {
  /** A gang's rest is wanted in that zone. */
  unplaced: { job: JobView; tasks: number; zone: string | null }[];
  types: MachineType[];
  /** Machines on their way, rented or asked for. */
  incoming: MachineView[];
  /** True while the cloud has lately had none of these. */
  refused: (type: string, zone: string, spot: boolean) => boolean;
  maxMachines: number;
  /** What work with accelerators wants there; null: none of it may come. */
  acceleratorReserve: (type: MachineType, spot: boolean) => AcceleratorReserve | null;
}

/**
 * Room is not bought at more than this many times what the cheapest ordinary room costs: beyond it, waiting for
 * what is there is the better bargain, however urgent the work.
 */
const MAX_PRICE_FACTOR = 3;

/**
 * What to rent for the work that found no place: first what is on its way is filled, in thought, and only
 * what is still left rents more, at the lowest price for each task that the machine would really hold. Pure.
 */
export function planScaleOut(input: ScaleOutInput): ScaleOutTarget[] {
  const targets = new Map<string, ScaleOutTarget>();
  const virtual = [...input.incoming];
  let machines = 0;
  for (const { job, tasks, zone: only } of input.unplaced) {
    const { spec } = job;
    const zones = new Map(job.zones);
    let left = tasks;
    const put = (machine: MachineView): void => {
      const n = Math.min(left, fittingTasks(spec, machine.free), zoneRoom(spec, zones, machine.zone));
      if (n <= 0) return;
      subtractTasks(machine.free, spec, n);
      zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + n);
      left -= n;
    };
    for (const m of virtual) {
      if (left <= 0) break;
      if ((spec.gpus === 0 && m.acceleratorReserve) || (only !== null && m.zone !== only)) continue;
      if (allowsPlacement(spec, m.type.name, m.zone, m.spot) && fits(spec, m.free)) put(m);
    }
    const cheapest = ordinaryPrice(spec, input.types);
    while (left > 0 && machines < input.maxMachines) {
      let best: { type: MachineType; zone: string; spot: boolean; cost: number } | null = null;
      for (const type of input.types) {
        const whole = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
        const holds = fittingTasks(spec, whole);
        if (holds <= 0) continue;
        for (const zone of type.zones) {
          if (only !== null && zone !== only) continue;
          const room = zoneRoom(spec, zones, zone);
          if (room <= 0) continue;
          for (const spot of spec.spot ? [true, false] : [false]) {
            if (!allowsPlacement(spec, type.name, zone, spot) || input.refused(type.name, zone, spot))
              continue;
            if (spec.gpus === 0 && type.gpus > 0 && input.acceleratorReserve(type, spot)) continue;
            const used = Math.min(holds, left, room);
            const price = spot ? type.spotPrice : type.price;
            if (price / holds > cheapest * MAX_PRICE_FACTOR) continue;
            const cost = (price / used) * (1 + type.bootS / 100);
            if (!best || cost < best.cost - 1e-9) best = { type, zone, spot, cost };
          }
        }
      }
      if (!best) break;
      const { type, zone, spot } = best;
      const key = `${type.name} ${zone} ${spot}`;
      const target = targets.get(key) ?? { type: type.name, zone, spot, count: 0 };
      target.count++;
      targets.set(key, target);
      machines++;
      const fresh = emptyMachineView(type, zone, spot, input.acceleratorReserve(type, spot));
      virtual.push(fresh);
      put(fresh);
    }
  }
  return [...targets.values()];
}

/** Lowest ordinary price of one task's room. */
function ordinaryPrice(spec: JobSpec, types: MachineType[]): number {
  let lowest = Infinity;
  for (const type of types) {
    const holds = fittingTasks(spec, { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb });
    if (holds > 0 && (spec.types === null || spec.types.includes(type.name)))
      lowest = Math.min(lowest, type.price / holds);
  }
  return lowest;
}
