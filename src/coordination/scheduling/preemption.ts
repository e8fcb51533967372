/** Which running tasks may be stopped for which waiting job ("Preemption" in the protocol). Pure. */
import type { JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";
import { addResources, fits, ROUNDING_TOLERANCE } from "./fitting.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** What preemption depends on besides the job and the victim. */
interface PreemptionInput {
  isGuaranteed: (jobId: string) => boolean;
  nowMs: number;
}

/** Tasks to stop so that one more task of a job fits, and the seconds of work that are lost with them. */
export interface Victims {
  victims: VictimView[];
  lossS: number;
}

/** May that task be stopped in favour of the job? */
export function mayEvict(job: JobView, victim: VictimView, input: PreemptionInput): boolean {
  if (victim.jobId === job.spec.id) return false;
  const hasLowerPriority = victim.priority < job.spec.priority;
  if (victim.team === job.spec.team) return hasLowerPriority;
  const isBorrowing = !input.isGuaranteed(victim.jobId);
  // A team gets its guarantee at the cost of what other teams borrow. A job that borrows itself stops nothing that is
  // guaranteed, whatever its priority: it would be stopped for that in turn, and so on for ever.
  return job.isGuaranteed ? isBorrowing || hasLowerPriority : isBorrowing && hasLowerPriority;
}

/** The victims on the machine that make one more task fit: none if it fits already; null if no eviction helps. */
export function victimsFor(job: JobView, machine: MachineView, input: PreemptionInput): Victims | null {
  const { spec } = job;
  const { nowMs } = input;
  const room: Resources = { ...machine.free };
  addResources(room, machine.stopping);
  const victims: VictimView[] = [];
  let lossS = 0;
  if (fits(spec, room)) return { victims, lossS };
  const evictable = machine
    .victims()
    .filter((victim) => mayEvict(job, victim, input) && victim.lossS(nowMs) < Infinity);
  if (evictable.length === 0) return null;
  evictable.sort((left, right) => left.priority - right.priority || left.lossS(nowMs) - right.lossS(nowMs));
  for (const victim of evictable) {
    if (fits(spec, room)) break;
    if (!helps(spec, victim, room)) continue;
    victims.push(victim);
    addResources(room, victim);
    lossS += victim.lossS(nowMs);
  }
  return fits(spec, room) ? { victims, lossS } : null;
}

/** A task without accelerators is no help to a job that lacks nothing else. */
function helps(spec: JobSpec, victim: VictimView, room: Resources): boolean {
  const lacksOnlyGpus = spec.cpus <= room.cpus && spec.memoryGb <= room.memoryGb;
  return victim.gpus > 0 || spec.gpus <= room.gpus + ROUNDING_TOLERANCE || !lacksOnlyGpus;
}
