/** The rules on task starts, one function each. A checker returns a description of the violation, or null. */
import { CANCEL_S, type TeamLimits, type TeamName } from "../region.js";
import type { SimJob } from "../job.js";
import type { SimTask } from "../taskRunner.js";
import type { PlacedTask, SimWorker } from "../worker.js";

/** A task that has just started, and the state of its job at that time. */
export interface TaskStart {
  worker: SimWorker;
  task: SimTask;
  job: SimJob;
  /** The job's live tasks other than the started one. */
  otherLiveTasks: PlacedTask[];
  nowMs: number;
}

/** `ran_twice`: a task has at most one live attempt across all machines. */
export function checkRanTwice({ task, otherLiveTasks }: TaskStart): string | null {
  return otherLiveTasks.some((other) => other.task.name === task.name) ? task.name : null;
}

/** `ran_cancelled`: no task of a job starts later than `CANCEL_S` after the job's cancellation was confirmed. */
export function checkStartedCancelled({ job, nowMs }: TaskStart): string | null {
  const isLate = job.finalPhase === "withdrawn" && nowMs - job.finalPhaseAtMs > CANCEL_S * 1000;
  return isLate ? job.spec.ref : null;
}

/**
 * `wrong_place`: the job allows the machine. The live tasks of a single-zone job are all in the same zone, and a spread
 * job has at most half of its tasks, rounded up, in any zone.
 */
export function checkWrongPlace({ worker, task, job, otherLiveTasks }: TaskStart): string | null {
  const { spec } = job;
  const { machine } = worker;
  const inSameZone = otherLiveTasks.filter((other) => other.worker.machine.zone === machine.zone).length;
  const isWrong =
    !allowsMachine(spec, worker) ||
    (spec.together && inSameZone < otherLiveTasks.length) ||
    (spec.scatter && inSameZone + 1 > Math.ceil(spec.spores / 2));
  return isWrong ? `${task.name} on ${machine.type} ${machine.zone}` : null;
}

/** Whether the job allows the machine's type, its zone and, if it is a spot instance, spot instances. */
export function allowsMachine(spec: SimJob["spec"], { machine }: SimWorker): boolean {
  if (spec.breeds && !spec.breeds.includes(machine.type)) return false;
  if (spec.patch && spec.patch !== machine.zone) return false;
  return !machine.isSpot || spec.windfall === true;
}

/** `quota`: the resources that a team's live tasks use do not exceed the team's limits. */
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
