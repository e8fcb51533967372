/** What users do at a bad moment, too often or wrongly. */
import type { JobSubmission, SimJob } from "../job.js";
import { STATUS_QUERY_INTERVAL_MS, type RefusalStatus } from "../users.js";
import type { SimWorker } from "../worker.js";
import type { World } from "../world.js";
import { drawAmount, drawCount, type Amount, type Count } from "./amounts.js";
import { pickController, type ControllerTarget } from "./targets.js";

/** What users do wrongly; the functions below describe each kind. */
export type UserFault = { family: "users" } & (
  | { kind: "cancellations"; count: Count; hangMs: Amount; through: ControllerTarget | null }
  | { kind: "requests at completion"; share: number; forMs: number }
  | { kind: "query flood"; factor: number; forMs: Amount }
  | { kind: "failing jobs"; count: Count; cancelledAfterMs: Amount }
  | { kind: "invalid requests"; forMs: number }
);

/** What a wave of cancellations may bring with it. */
export interface CancellationOptions {
  /** Up to `MAX_HUNG` of the machines that run the jobs hang for so long. */
  hangMs?: Amount;
  /** The controller that takes the cancellations; any unless given. */
  through?: ControllerTarget;
}

/** Users cancel so many running jobs within a fifth of a second. */
export function cancelJobs(count: Count, { hangMs = 0, through }: CancellationOptions = {}): UserFault {
  return { family: "users", kind: "cancellations", count, hangMs, through: through ?? null };
}

/** As a job's last task ends, that share of jobs is cancelled, queried or submitted again. */
export function requestsAtCompletion(share: number, forMs: number): UserFault {
  return { family: "users", kind: "requests at completion", share, forMs };
}

/** Users query each unfinished job that many times as often as usual. */
export function floodWithQueries(factor: number, forMs: Amount): UserFault {
  return { family: "users", kind: "query flood", factor, forMs };
}

/** Jobs whose tasks fail on every machine, until their users cancel them after that time. */
export function submitFailingJobs(count: Count, cancelledAfterMs: Amount): UserFault {
  return { family: "users", kind: "failing jobs", count, cancelledAfterMs };
}

/** Users resubmit unfinished jobs, cancel jobs that are done, and submit what must be refused. */
export function sendInvalidRequests(forMs: number): UserFault {
  return { family: "users", kind: "invalid requests", forMs };
}

/** Cancellations of one wave are spread over this time. */
const CANCEL_SPREAD_MS = 200;
/** Most machines that hang with one wave of cancellations. */
const MAX_HUNG = 8;
/** Jobs without an end count as running this long, when the longest are chosen. */
const ENDLESS_S = 1e9;
/** A request at a job's completion comes at once or within this time. */
const COMPLETION_SPREAD_MS = 60;
const FAILING_JOB_RUN_S = 5;

const FAILING_FORMS: Partial<JobSubmission>[] = [
  { form: "array", spores: 8, cores: 1, rank: "high" },
  { form: "standing", spores: 2, cores: 1, rank: "prod" },
  { form: "ensemble", spores: 2, cores: 1, gpus: 1, rank: "high", together: true },
];

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

/** Changes to a valid submission that can never run or lacks a field, and the status it must be refused with. */
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

/** Brings it about now; a count is drawn before its time. */
export function injectUserFault(world: World, fault: UserFault): void {
  const { random } = world;
  switch (fault.kind) {
    case "cancellations": {
      const count = drawCount(random, fault.count);
      const hangMs = drawAmount(random, fault.hangMs);
      const at = fault.through === null ? undefined : pickController(world, fault.through);
      cancelRunningJobs(world, count, hangMs, at);
      return;
    }
    case "requests at completion":
      sendRequestsAtCompletion(world, fault.share, fault.forMs);
      return;
    case "query flood":
      queryOften(world, fault.factor, drawAmount(random, fault.forMs));
      return;
    case "failing jobs": {
      const count = drawCount(random, fault.count);
      submitJobsThatFail(world, count, drawAmount(random, fault.cancelledAfterMs));
      return;
    }
    case "invalid requests":
      repeatInvalidRequests(world, world.clock.nowMs() + fault.forMs);
  }
}

/** Jobs that run and were not cancelled, those with the longest tasks first. */
function runningJobs({ users, fleet }: World): SimJob[] {
  return [...users.jobs.values()]
    .filter((job) => job.isAccepted && !job.isCancelRequested && job.finalPhase === null)
    .filter((job) => fleet.liveTasks(job.spec.ref).length > 0)
    .sort((left, right) => (right.runTimeS ?? ENDLESS_S) - (left.runTimeS ?? ENDLESS_S));
}

function cancelRunningJobs(world: World, count: number, hangMs: number, at?: string): void {
  const hung = new Set<SimWorker>();
  for (const job of runningJobs(world).slice(0, count)) {
    world.clock.after(world.random() * CANCEL_SPREAD_MS, () => {
      world.users.cancel(job, at);
      if (hangMs > 0) hangWorkersOf(world, job, hangMs, hung);
    });
  }
}

function hangWorkersOf(world: World, job: SimJob, hangMs: number, hung: Set<SimWorker>): void {
  for (const { worker } of world.fleet.liveTasks(job.spec.ref)) {
    if (hung.size >= MAX_HUNG || hung.has(worker)) continue;
    hung.add(worker);
    worker.hang(hangMs);
  }
}

function sendRequestsAtCompletion(world: World, share: number, forMs: number): void {
  const { clock, random, users } = world;
  const untilMs = clock.nowMs() + forMs;
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

function queryOften({ clock, users }: World, factor: number, forMs: number): void {
  const untilMs = clock.nowMs() + forMs;
  const queryAll = (): void => {
    if (clock.nowMs() > untilMs) return;
    clock.after(STATUS_QUERY_INTERVAL_MS / factor, queryAll);
    for (const job of users.jobs.values()) {
      if (job.isAccepted && job.finalPhase === null) users.queryStatus(job);
    }
  };
  queryAll();
}

function submitJobsThatFail(world: World, count: number, cancelledAfterMs: number): void {
  const { clock, fleet, users } = world;
  const prefixes: string[] = [];
  const failsAlready = fleet.failsEverywhere;
  fleet.failsEverywhere = (taskName) =>
    prefixes.some((prefix) => taskName.startsWith(prefix)) || failsAlready(taskName);
  for (let i = 0; i < count; i++) {
    const ref = `job-6${String(users.faultJobCount++).padStart(5, "0")}`;
    prefixes.push(`${ref}/`);
    const fields = {
      ref,
      crew: i % 2 ? "one" : "two",
      memoryGb: 1,
      ...FAILING_FORMS[i % FAILING_FORMS.length]!,
    };
    const job = users.submit(fields, FAILING_JOB_RUN_S);
    clock.after(cancelledAfterMs, () => users.cancel(job));
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

/** Draws one random number, also from an empty list. */
function pickOne<Item>(random: () => number, items: Item[]): Item | undefined {
  return items[Math.floor(random() * items.length)];
}
