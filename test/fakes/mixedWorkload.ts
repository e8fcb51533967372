/** A randomized mixed workload: services, arrays and gangs of both teams, some of which are cancelled. */
import type { JobSubmission, SimJob } from "./job.js";
import type { World } from "./world.js";

/** Share of services among the jobs. */
const SERVICE_SHARE = 0.3;
/** Share of services and arrays together; the remaining jobs are gangs. */
const SERVICE_OR_ARRAY_SHARE = 0.75;

type Submission = [fields: Partial<JobSubmission> & { ref: string }, runTimeS: number | null];

/** Submits random jobs for `seconds`, then cancels the services among them, including any that are accepted later. */
export async function submitMixedWorkload(world: World, seconds: number): Promise<void> {
  const { users, random } = world;
  const submitted: SimJob[] = [];
  const untilMs = world.clock.nowMs() + seconds * 1000;
  let index = users.jobs.size;
  while (world.clock.nowMs() < untilMs) {
    submitted.push(users.submit(...generateJob(random, `job-${String(index++).padStart(6, "0")}`)));
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

/** Generates a job. It draws the kind first, then the team, then the parameters of the kind, then the run time. */
function generateJob(random: () => number, ref: string): Submission {
  const kind = random();
  const crew = random() < 0.5 ? "one" : "two";
  if (kind < SERVICE_SHARE) return [generateService(random, ref, crew), null];
  if (kind < SERVICE_OR_ARRAY_SHARE) {
    const array = generateArray(random, ref, crew);
    return [array, 1 + random() * 6];
  }
  const gang = generateGang(random, ref, crew);
  return [gang, 2 + random() * 6];
}

function generateService(random: () => number, ref: string, crew: string): Submission[0] {
  const spores = 1 + Math.floor(random() * 3);
  return { ref, crew, form: "standing", rank: "prod", spores, cores: 1, windfall: false, scatter: true };
}

function generateArray(random: () => number, ref: string, crew: string): Submission[0] {
  const spores = 1 + Math.floor(random() * 8);
  return { ref, crew, spores, together: random() < 0.2 };
}

function generateGang(random: () => number, ref: string, crew: string): Submission[0] {
  const spores = 1 + Math.floor(random() * 2);
  const checkpoints = { cairnS: 2, stashS: 1 };
  return { ref, crew, form: "ensemble", spores, gpus: 1, together: true, rank: "high", ...checkpoints };
}
