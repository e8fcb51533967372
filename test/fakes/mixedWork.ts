/** A mixed day's work: services, arrays and gangs of both teams, some of them cancelled again. */
import type { JobSubmission, SimJob } from "./job.js";
import type { World } from "./world.js";

/** Share of services among the jobs, and of services and arrays. */
const SERVICE_SHARE = 0.3;
const SERVICE_OR_ARRAY_SHARE = 0.75;

type Submission = [fields: Partial<JobSubmission> & { ref: string }, runS: number | null];

/** Submits mixed work over the next `seconds`; then cancels its services. */
export async function submitMixedWork(world: World, seconds: number): Promise<void> {
  const { users, random } = world;
  const submitted: SimJob[] = [];
  const untilMs = world.clock.nowMs() + seconds * 1000;
  let index = users.jobs.size;
  while (world.clock.nowMs() < untilMs) {
    submitted.push(users.submit(...drawJob(random, `job-${String(index++).padStart(6, "0")}`)));
    if (random() < 0.5 && submitted.length > 2) {
      const job = submitted[Math.floor(random() * submitted.length)]!;
      if (job.isAccepted && !job.isCancelRequested) users.cancel(job);
    }
    await world.run(0.5 + random() * 2.5);
  }
  users.cancelsNewServices = true;
  for (const job of submitted) {
    if (job.spec.form === "standing" && job.isAccepted && !job.isCancelRequested) users.cancel(job);
  }
}

/** Draws a job's kind first, then its team, then what its kind leaves open. */
function drawJob(random: () => number, ref: string): Submission {
  const kind = random();
  const crew = random() < 0.5 ? "one" : "two";
  if (kind < SERVICE_SHARE) return [drawService(random, ref, crew), null];
  if (kind < SERVICE_OR_ARRAY_SHARE) {
    const array = drawArray(random, ref, crew);
    return [array, 1 + random() * 6];
  }
  const gang = drawGang(random, ref, crew);
  return [gang, 2 + random() * 6];
}

function drawService(random: () => number, ref: string, crew: string): Submission[0] {
  const spores = 1 + Math.floor(random() * 3);
  return { ref, crew, form: "standing", rank: "prod", spores, cores: 1, windfall: false, scatter: true };
}

function drawArray(random: () => number, ref: string, crew: string): Submission[0] {
  const spores = 1 + Math.floor(random() * 8);
  return { ref, crew, spores, together: random() < 0.2 };
}

function drawGang(random: () => number, ref: string, crew: string): Submission[0] {
  const spores = 1 + Math.floor(random() * 2);
  const checkpoints = { cairnS: 2, stashS: 1 };
  return { ref, crew, form: "ensemble", spores, gpus: 1, together: true, rank: "high", ...checkpoints };
}
