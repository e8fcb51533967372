/** Rules that decide which running tasks a waiting job may preempt ("Preemption" in the protocol). Pure functions. */
import type { JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";
import { addResources, fits, ROUNDING_TOLERANCE } from "./fitting.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** Inputs of the preemption rules besides the job and the victim. */
interface PreemptionInput {
  isGuaranteed: (jobId: string) => boolean;
  nowMs: number;
}

/** Tasks to stop so that one more task of a job fits, with the seconds of work lost by stopping them. */
export interface Victims {
  victims: VictimView[];
  lossS: number;
}

/** Returns true if the job may preempt the running task. */
export function mayEvict(job: JobView, victim: VictimView, input: PreemptionInput): boolean {
  if (victim.jobId === job.spec.id) return false;
  const hasLowerPriority = victim.priority < job.spec.priority;
  if (victim.team === job.spec.team) return hasLowerPriority;
  const isBorrowing = !input.isGuaranteed(victim.jobId);
  // A team obtains its guaranteed quota at the expense of work that other teams run on borrowed quota. A borrowing job
  // never preempts guaranteed work, whatever its priority: that work would preempt it in turn, in an endless cycle.
  return job.isGuaranteed ? isBorrowing || hasLowerPriority : isBorrowing && hasLowerPriority;
}

/**
 * Selects victims on the machine so that one more task of the job fits. The list is empty if the task fits already,
 * counting resources of stopping tasks as free; the result is null if no eviction helps.
 */
export function victimsFor(job: JobView, machine: MachineView, input: PreemptionInput): Victims | null {
  const { spec } = job;
  const { nowMs } = input;
  const available: Resources = { ...machine.free };
  addResources(available, machine.stopping);
  const victims: VictimView[] = [];
  let lossS = 0;
  if (fits(spec, available)) return { victims, lossS };
  const evictable = machine
    .victims()
    .filter((victim) => mayEvict(job, victim, input) && victim.lossS(nowMs) < Infinity);
  if (evictable.length === 0) return null;
  evictable.sort((left, right) => left.priority - right.priority || left.lossS(nowMs) - right.lossS(nowMs));
  for (const victim of evictable) {
    if (fits(spec, available)) break;
    if (!isUsefulVictim(spec, victim, available)) continue;
    victims.push(victim);
    addResources(available, victim);
    lossS += victim.lossS(nowMs);
  }
  return fits(spec, available) ? { victims, lossS } : null;
}

/** Returns false if the job lacks only GPUs and the victim holds none. */
function isUsefulVictim(spec: JobSpec, victim: VictimView, available: Resources): boolean {
  const lacksOnlyGpus = spec.cpus <= available.cpus && spec.memoryGb <= available.memoryGb;
  return victim.gpus > 0 || spec.gpus <= available.gpus + ROUNDING_TOLERANCE || !lacksOnlyGpus;
}
