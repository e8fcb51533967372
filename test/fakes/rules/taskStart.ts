/** The rules that hold at each start of a task, one function each: a checker returns what is wrong, or null. */
import { CANCEL_S, type TeamLimits, type TeamName } from "../region.js";
import type { SimJob } from "../job.js";
import type { SimTask } from "../taskRunner.js";
import type { PlacedTask, SimWorker } from "../worker.js";

/** A task that has just started, and what its job looks like at that moment. */
export interface TaskStart {
  worker: SimWorker;
  task: SimTask;
  job: SimJob;
  /** The job's other live tasks. */
  others: PlacedTask[];
  nowMs: number;
}

/** `ran_twice`: a task has at most one live attempt, on whatever machine. */
export function checkRanTwice({ task, others }: TaskStart): string | null {
  return others.some((other) => other.task.name === task.name) ? task.name : null;
}

/** `ran_cancelled`: nothing of a job starts later than `CANCEL_S` after its cancellation was confirmed. */
export function checkStartedCancelled({ job, nowMs }: TaskStart): string | null {
  const isLate = job.finalPhase === "withdrawn" && nowMs - job.finalPhaseAtMs > CANCEL_S * 1000;
  return isLate ? job.spec.ref : null;
}

/**
 * `wrong_place`: the machine is one that the job allows, by its type, zone and kind; a job for one zone has all its
 * live tasks there, and a spread one has at most half of its tasks, rounded up, in a zone.
 */
export function checkWrongPlace({ worker, task, job, others }: TaskStart): string | null {
  const { spec } = job;
  const { machine } = worker;
  const inSameZone = others.filter((other) => other.worker.machine.zone === machine.zone).length;
  const isWrong =
    !allowsMachine(spec, worker) ||
    (spec.together && inSameZone < others.length) ||
    (spec.scatter && inSameZone + 1 > Math.ceil(spec.spores / 2));
  return isWrong ? `${task.name} on ${machine.type} ${machine.zone}` : null;
}

/** Does the job allow the machine, by its type, its zone and whether it is a spot instance? */
export function allowsMachine(spec: SimJob["spec"], { machine }: SimWorker): boolean {
  if (spec.breeds && !spec.breeds.includes(machine.type)) return false;
  if (spec.patch && spec.patch !== machine.zone) return false;
  return !machine.isSpot || spec.windfall === true;
}

/** `quota`: what a team's live tasks use stays within the team's limits. */
export function checkQuota(
  team: string,
  jobs: Iterable<SimJob>,
  liveTasks: (jobId: string) => PlacedTask[],
  limits: TeamLimits,
): string | null {
  const use = { cpus: 0, gpus: 0 };
  for (const { spec } of jobs) {
    if (spec.crew !== team) continue;
    const liveCount = liveTasks(spec.ref).length;
    use.cpus += liveCount * spec.cores;
    use.gpus += liveCount * spec.gpus;
  }
  const limit = limits[team as TeamName];
  const isOver = use.cpus > limit.cpus || use.gpus > limit.gpus;
  return isOver ? `${team}: ${JSON.stringify(use)}` : null;
}
