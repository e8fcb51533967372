/** The capacity that each priority can count on, for the order of service. */
import type { QuotaAmount } from "../../bookkeeping/quotaUsage.js";
import type { Job, Machine } from "../../bookkeeping/workload.js";
import type { Estimates } from "./estimates.js";

/** Cpus, or accelerators, that jobs of a priority can count on. */
export type CapacityOf = (priority: number, ofGpus: boolean) => number;

/**
 * Capacity by priority: all that the fleet has, less what jobs of higher priority use. Cpus of machines that are kept for
 * GPU work count for nobody else.
 */
export function capacityByPriority(
  machines: Iterable<Machine>,
  jobs: Iterable<Job>,
  estimates: Estimates,
): CapacityOf {
  const total = fleetCapacity(machines, estimates);
  const used = useByPriority(jobs);
  return (priority, ofGpus) => {
    let capacity = ofGpus ? total.gpus : total.cpus;
    for (const [other, use] of used) if (other > priority) capacity -= ofGpus ? use.gpus : use.cpus;
    return capacity;
  };
}

function fleetCapacity(machines: Iterable<Machine>, estimates: Estimates): QuotaAmount {
  const total = { cpus: 0, gpus: 0 };
  for (const { type, state, isCordoned, spot } of machines) {
    if (!type || state === "leaving" || isCordoned) continue;
    total.gpus += type.gpus;
    if (type.gpus === 0 || !estimates.acceleratorReserveOn(type, spot)) total.cpus += type.cpus;
  }
  return total;
}

/** What running work takes, by its priority. Counted by jobs: there are ten times as many attempts. */
function useByPriority(jobs: Iterable<Job>): Map<number, QuotaAmount> {
  const used = new Map<number, QuotaAmount>();
  for (const { spec, attempts } of jobs) {
    if (attempts.size === 0) continue;
    const use = used.get(spec.priority) ?? { cpus: 0, gpus: 0 };
    use.gpus += spec.gpus * attempts.size;
    if (spec.gpus === 0) use.cpus += spec.cpus * attempts.size;
    used.set(spec.priority, use);
  }
  return used;
}
