/** Computes the fleet capacity available to each job priority; the queue uses it for fair shares. */
import type { QuotaAmount } from "../../bookkeeping/quotaUsage.js";
import type { Job, Machine } from "../../bookkeeping/workload.js";
import type { Estimates } from "./estimates.js";

/** Returns the CPUs, or the GPUs if `needsGpus` is set, that are available to jobs of a priority. */
export type CapacityLookup = (priority: number, needsGpus: boolean) => number;

/**
 * Returns a lookup of capacity by priority: the fleet's total minus the usage of jobs with a higher priority. The CPUs
 * of machines that keep an accelerator reserve are excluded because they are held for GPU jobs.
 */
export function capacityByPriority(
  machines: Iterable<Machine>,
  jobs: Iterable<Job>,
  estimates: Estimates,
): CapacityLookup {
  const total = fleetCapacity(machines, estimates);
  const used = usageByPriority(jobs);
  return (priority, needsGpus) => {
    let capacity = needsGpus ? total.gpus : total.cpus;
    for (const [other, use] of used) if (other > priority) capacity -= needsGpus ? use.gpus : use.cpus;
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

/** Sums the usage of running jobs by priority. It iterates over jobs because attempts are ten times as many. */
function usageByPriority(jobs: Iterable<Job>): Map<number, QuotaAmount> {
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
