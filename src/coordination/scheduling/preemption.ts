/** Which running tasks may be stopped for which waiting job ("Preemption" in the protocol). Pure. */
import type { Resources } from "../../bookkeeping/resources.js";
import { addResources, fits } from "./fitting.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** What preemption depends on besides the job and the victim. */
interface PreemptionInput {
  isGuaranteed: (jobId: string) => boolean;
  nowMs: number;
}

/** Tasks to stop so that one more task of a job fits, and the seconds of work that are lost with them. */
export interface Victims {
  victims: VictimView[];
  loss: number;
}

/** May that task be stopped for the job? */
export function mayEvict(job: JobView, victim: VictimView, input: PreemptionInput): boolean {
  if (victim.jobId === job.spec.id) return false;
  const lesser = victim.priority < job.spec.priority;
  if (victim.team === job.spec.team) return lesser;
  const borrowed = !input.isGuaranteed(victim.jobId);
  // So that a team gets its guarantee, what another team borrows may be stopped. And what borrows stops nothing that
  // is guaranteed, whatever its priority: it would be stopped for it in turn, and so on for ever.
  return job.isGuaranteed ? borrowed || lesser : borrowed && lesser;
}

/** Who would have to go from the machine so that one more task fits; null: nobody's going helps. */
export function victimsFor(job: JobView, machine: MachineView, input: PreemptionInput): Victims | null {
  const { spec } = job;
  const room: Resources = { ...machine.free };
  addResources(room, machine.stopping);
  const victims: VictimView[] = [];
  let loss = 0;
  if (fits(spec, room)) return { victims, loss };
  const now = input.nowMs;
  const able = machine.victims().filter((v) => mayEvict(job, v, input) && v.lossS(now) < Infinity);
  if (able.length === 0) return null;
  able.sort((a, b) => a.priority - b.priority || a.lossS(now) - b.lossS(now));
  for (const victim of able) {
    if (fits(spec, room)) break;
    // Only what helps.
    const lacksOnlyGpus = spec.cpus <= room.cpus && spec.memoryGb <= room.memoryGb;
    if (victim.gpus === 0 && spec.gpus > room.gpus + 1e-6 && lacksOnlyGpus) continue;
    victims.push(victim);
    addResources(room, victim);
    loss += victim.lossS(now);
  }
  return fits(spec, room) ? { victims, loss } : null;
}
