/** Faults that users cause: ill-timed, excessive or invalid requests, and jobs whose tasks fail. */
import type { JobSubmission, SimJob } from "../job.js";
import { STATUS_QUERY_INTERVAL_MS, type RefusalStatus } from "../users.js";
import type { SimWorker } from "../worker.js";
import type { World } from "../world.js";
import { sampleAmount, sampleCount, type Amount, type Count } from "./amounts.js";
import { pickController, type ControllerTarget } from "./targets.js";

/** A fault that users cause; the function that creates a kind of fault documents it. */
export type UserFault = { family: "users" } & (
  | { kind: "cancellations"; count: Count; hangMs: Amount; through: ControllerTarget | null }
  | { kind: "requests at completion"; share: number; durationMs: number }
  | { kind: "query flood"; factor: number; durationMs: Amount }
  | { kind: "failing jobs"; count: Count; cancelDelayMs: Amount }
  | { kind: "invalid requests"; durationMs: number }
);

/** Optional parameters of `cancelJobs`. */
export interface CancellationOptions {
  /** Duration for which up to `MAX_HUNG_WORKERS` of the workers that run the jobs hang; 0, the default, for none. */
  hangMs?: Amount;
  /** Controller to which the cancellations are sent; by default, a random running one for each. */
  through?: ControllerTarget;
}

/** Cancels the `count` running jobs with the longest run times, each at a random time within `CANCEL_SPREAD_MS`. */
export function cancelJobs(count: Count, { hangMs = 0, through }: CancellationOptions = {}): UserFault {
  return { family: "users", kind: "cancellations", count, hangMs, through: through ?? null };
}

/** Cancels, queries or resubmits the given share of the jobs that complete within `durationMs`, upon completion. */
export function requestsAtCompletion(share: number, durationMs: number): UserFault {
  return { family: "users", kind: "requests at completion", share, durationMs };
}

/** For `durationMs`, queries each unfinished job `factor` times as often as usual, in addition to the usual queries. */
export function floodWithQueries(factor: number, durationMs: Amount): UserFault {
  return { family: "users", kind: "query flood", factor, durationMs };
}

/** Submits `count` jobs whose tasks fail on every machine; their users cancel them after `cancelDelayMs`. */
export function submitFailingJobs(count: Count, cancelDelayMs: Amount): UserFault {
  return { family: "users", kind: "failing jobs", count, cancelDelayMs };
}

/** For `durationMs`, resubmits unfinished jobs, cancels completed ones and sends submissions that must be rejected. */
export function sendInvalidRequests(durationMs: number): UserFault {
  return { family: "users", kind: "invalid requests", durationMs };
}

/** Time over which the cancellations of one fault are spread. */
const CANCEL_SPREAD_MS = 200;
/** Maximum number of workers that hang because of one cancellation fault. */
const MAX_HUNG_WORKERS = 8;
/** Run time of jobs that run until they are cancelled, for sorting jobs by run time. */
const UNBOUNDED_RUN_TIME_S = 1e9;
/** Maximum delay between a job's completion and a request; half of the requests are sent without delay. */
const COMPLETION_SPREAD_MS = 60;
/** Estimated and actual run time of the failing jobs' tasks; it is never reached, as they fail before they run. */
const FAILING_JOB_RUN_S = 5;

/** Fields of the failing jobs, which are submitted as an array, a service and a gang in turn. */
const FAILING_SUBMISSIONS: Partial<JobSubmission>[] = [
  { form: "array", spores: 8, cores: 1, rank: "high" },
  { form: "standing", spores: 2, cores: 1, rank: "prod" },
  { form: "ensemble", spores: 2, cores: 1, gpus: 1, rank: "high", together: true },
];

/** A submission that is valid except for its missing id; each entry of `INVALID_CHANGES` makes it invalid. */
const VALID_SUBMISSION: Omit<JobSubmission, "ref"> = {
  strain: "s",
  crew: "one",
  form: "array",
  rank: "standard",
  spores: 2,
  cores: 1,
  gpus: 0,
  memoryGb: 1,
  seedstock: "img",
  pullGb: 1,
  together: false,
  scatter: false,
  windfall: true,
  guessS: 5,
  cairnS: 0,
  stashS: 0,
};

/**
 * Changes that make the valid submission malformed (400) or impossible to run (422), with the status with which it must
 * be rejected.
 */
const INVALID_CHANGES: [RefusalStatus, Record<string, unknown>][] = [
  [422, { crew: "nobody" }],
  [422, { cores: 17 }],
  [422, { breeds: ["small"], gpus: 1 }],
  [422, { breeds: [] }],
  [422, { patch: "c" }],
  [422, { form: "ensemble", scatter: true, together: true }],
  [422, { form: "standing", scatter: true, patch: "a" }],
  [422, { form: "standing", spores: 21 }],
  [400, { spores: 0 }],
  [400, { spores: 1.5 }],
  [400, { form: "cluster" }],
  [400, { ref: "task-1" }],
  [400, { memoryGb: undefined }],
  [400, { together: null }],
  [400, { seedstock: undefined }],
];

/** Injects the fault now. A random count is drawn before a random duration, and both before a random controller. */
export function injectUserFault(world: World, fault: UserFault): void {
  const { random } = world;
  switch (fault.kind) {
    case "cancellations": {
      const count = sampleCount(random, fault.count);
      const hangMs = sampleAmount(random, fault.hangMs);
      const controller = fault.through === null ? undefined : pickController(world, fault.through);
      cancelRunningJobs(world, count, hangMs, controller);
      return;
    }
    case "requests at completion":
      sendRequestsAtCompletion(world, fault.share, fault.durationMs);
      return;
    case "query flood":
      queryStatusOften(world, fault.factor, sampleAmount(random, fault.durationMs));
      return;
    case "failing jobs": {
      const count = sampleCount(random, fault.count);
      submitJobsThatFail(world, count, sampleAmount(random, fault.cancelDelayMs));
      return;
    }
    case "invalid requests":
      repeatInvalidRequests(world, world.clock.nowMs() + fault.durationMs);
  }
}

/** Returns the jobs with live tasks that no user has cancelled, in descending order of run time. */
function runningJobs({ users, fleet }: World): SimJob[] {
  return [...users.jobs.values()]
    .filter((job) => job.isAccepted && !job.isCancelRequested && job.finalPhase === null)
    .filter((job) => fleet.liveTasks(job.spec.ref).length > 0)
    .sort(
      (left, right) => (right.runTimeS ?? UNBOUNDED_RUN_TIME_S) - (left.runTimeS ?? UNBOUNDED_RUN_TIME_S),
    );
}

function cancelRunningJobs(world: World, count: number, hangMs: number, controller?: string): void {
  const hungWorkers = new Set<SimWorker>();
  for (const job of runningJobs(world).slice(0, count)) {
    world.clock.after(world.random() * CANCEL_SPREAD_MS, () => {
      world.users.cancel(job, controller);
      if (hangMs > 0) hangWorkersOf(world, job, hangMs, hungWorkers);
    });
  }
}

function hangWorkersOf(world: World, job: SimJob, hangMs: number, hungWorkers: Set<SimWorker>): void {
  for (const { worker } of world.fleet.liveTasks(job.spec.ref)) {
    if (hungWorkers.size >= MAX_HUNG_WORKERS || hungWorkers.has(worker)) continue;
    hungWorkers.add(worker);
    worker.hang(hangMs);
  }
}

function sendRequestsAtCompletion(world: World, share: number, durationMs: number): void {
  const { clock, random, users } = world;
  const untilMs = clock.nowMs() + durationMs;
  world.onTaskEnd = (job, task) => {
    const isComplete = task.cause === "done" && job.doneTasks.size >= job.spec.spores;
    if (clock.nowMs() > untilMs || !isComplete) return;
    if (random() >= share || !job.isAccepted || job.isCancelRequested) return;
    const choice = random();
    const delayMs = random() < 0.5 ? 0 : random() * COMPLETION_SPREAD_MS;
    clock.after(delayMs, () => {
      if (choice < 0.6) users.cancel(job);
      if (choice > 0.4) users.queryStatus(job);
      if (choice > 0.7) users.resubmit(job);
    });
  };
}

function queryStatusOften({ clock, users }: World, factor: number, durationMs: number): void {
  const untilMs = clock.nowMs() + durationMs;
  const queryAll = (): void => {
    if (clock.nowMs() > untilMs) return;
    clock.after(STATUS_QUERY_INTERVAL_MS / factor, queryAll);
    for (const job of users.jobs.values()) {
      if (job.isAccepted && job.finalPhase === null) users.queryStatus(job);
    }
  };
  queryAll();
}

function submitJobsThatFail(world: World, count: number, cancelDelayMs: number): void {
  const { clock, fleet, users } = world;
  const prefixes: string[] = [];
  const previousFailsEverywhere = fleet.failsEverywhere;
  fleet.failsEverywhere = (taskName) =>
    prefixes.some((prefix) => taskName.startsWith(prefix)) || previousFailsEverywhere(taskName);
  for (let i = 0; i < count; i++) {
    const ref = `job-6${String(users.faultJobCount++).padStart(5, "0")}`;
    prefixes.push(`${ref}/`);
    const fields = {
      ref,
      crew: i % 2 ? "one" : "two",
      memoryGb: 1,
      ...FAILING_SUBMISSIONS[i % FAILING_SUBMISSIONS.length]!,
    };
    const job = users.submit(fields, FAILING_JOB_RUN_S);
    clock.after(cancelDelayMs, () => users.cancel(job));
  }
}

function repeatInvalidRequests(world: World, untilMs: number): void {
  const { clock, random, users } = world;
  if (clock.nowMs() > untilMs) return;
  clock.after(300 + random() * 700, () => repeatInvalidRequests(world, untilMs));
  const accepted = [...users.jobs.values()].filter((job) => job.isAccepted);
  const unfinished = accepted.filter((job) => job.finalPhase === null);
  const done = accepted.filter((job) => job.finalPhase === "done");
  const resubmitted = pickOne(random, unfinished);
  if (resubmitted) users.resubmit(resubmitted);
  const cancelled = pickOne(random, done);
  if (cancelled) users.cancel(cancelled);
  const [status, change] = pickOne(random, INVALID_CHANGES)!;
  const ref = `job-8${String(users.faultJobCount++).padStart(7, "0")}`;
  users.submitInvalid(status, { ...VALID_SUBMISSION, ref, ...change });
}

/** Returns a random item, or undefined if there is none. Draws one random number in either case. */
function pickOne<Item>(random: () => number, items: Item[]): Item | undefined {
  return items[Math.floor(random() * items.length)];
}
