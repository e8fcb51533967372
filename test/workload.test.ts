import assert from "node:assert/strict";
import test from "node:test";
import { FencedWorker } from "../src/bookkeeping/fencedWorker.js";
import { PendingTasks } from "../src/bookkeeping/pendingTasks.js";
import { QuotaUsage } from "../src/bookkeeping/quotaUsage.js";
import type { JobSpec } from "../src/protocol/model.js";

/** Takes tasks that `mayStart` accepts until there are none left. */
function takeAll(pending: PendingTasks, mayStart: (task: number) => boolean = () => true): number[] {
  const taken: number[] = [];
  for (let task = pending.take(mayStart); task !== null; task = pending.take(mayStart)) taken.push(task);
  return taken;
}

const takeOrderCases: { name: string; requeued: number[]; refused: number[]; taken: number[] }[] = [
  { name: "tasks that were never started are taken by number", requeued: [], refused: [], taken: [2, 3] },
  {
    name: "requeued tasks are taken first, the most recently requeued one before the others",
    requeued: [0, 1],
    refused: [],
    taken: [1, 0, 2, 3],
  },
  {
    name: "a task that was never started keeps its place when it is requeued",
    requeued: [3],
    refused: [],
    taken: [2, 3],
  },
  { name: "tasks that may not start are skipped", requeued: [0, 1], refused: [1, 2], taken: [0, 3] },
];
for (const { name, requeued, refused, taken } of takeOrderCases) {
  test(`pending tasks: ${name}`, () => {
    const pending = new PendingTasks(4);
    assert.deepEqual([pending.take(() => true), pending.take(() => true)], [0, 1]);
    for (const task of requeued) pending.requeue(task);
    assert.deepEqual(
      takeAll(pending, (task) => !refused.includes(task)),
      taken,
    );
  });
}

const FIRST_OF_TERM = 5 * 2 ** 24;

const reachabilityCases: { name: string; act: (worker: FencedWorker) => void; isReachable: boolean }[] = [
  { name: "unreachable before the first heartbeat", act: () => undefined, isReachable: false },
  {
    name: "unreachable with a token of an earlier term",
    act: (worker) => (worker.seenToken = FIRST_OF_TERM - 1),
    isReachable: false,
  },
  {
    name: "reachable with a token of this term",
    act: (worker) => (worker.seenToken = FIRST_OF_TERM),
    isReachable: true,
  },
  {
    name: "reachable when no token is required, as for a new worker",
    act: (worker) => (worker.requiredToken = 0),
    isReachable: true,
  },
  {
    name: "unreachable after a command without a response",
    act: (worker) => {
      worker.seenToken = FIRST_OF_TERM;
      worker.requireNewToken(1000);
    },
    isReachable: false,
  },
  {
    name: "reachable after a command without a response and then a newer token",
    act: (worker) => {
      worker.seenToken = FIRST_OF_TERM;
      worker.requireNewToken(1000);
      worker.seenToken = worker.fencingToken;
    },
    isReachable: true,
  },
];
for (const { name, act, isReachable } of reachabilityCases) {
  test(`a worker is ${name}`, () => {
    const worker = new FencedWorker(FIRST_OF_TERM);
    act(worker);
    assert.equal(worker.isReachable, isReachable);
  });
}

test("a raised token is higher than the token of any start command", () => {
  const worker = new FencedWorker(FIRST_OF_TERM);
  worker.lastStartToken = FIRST_OF_TERM + 4;
  worker.raiseToken();
  assert.equal(worker.fencingToken, FIRST_OF_TERM + 5);
});

test("a worker is unreachable since the first command without a response, not since the latest one", () => {
  const worker = new FencedWorker(FIRST_OF_TERM);
  worker.seenToken = FIRST_OF_TERM;
  worker.requireNewToken(1000);
  worker.requireNewToken(2000);
  assert.equal(worker.unreachableSinceMs, 1000);
});

const quotaCases: { name: string; spec: Partial<JobSpec>; used: number; planned: number; allowed: number }[] =
  [
    { name: "the whole quota if nothing is used", spec: { cpus: 2 }, used: 0, planned: 0, allowed: 5 },
    { name: "the quota minus its use", spec: { cpus: 2 }, used: 2, planned: 0, allowed: 3 },
    {
      name: "the quota minus its use and the planned amount",
      spec: { cpus: 2 },
      used: 2,
      planned: 2,
      allowed: 1,
    },
    {
      name: "the smaller limit of CPUs and GPUs",
      spec: { cpus: 1, gpus: 2 },
      used: 1,
      planned: 0,
      allowed: 1,
    },
    {
      name: "none if one more task would exceed the quota",
      spec: { cpus: 4 },
      used: 3,
      planned: 0,
      allowed: 0,
    },
    { name: "none for an unknown team", spec: { team: "red", cpus: 1 }, used: 0, planned: 0, allowed: 0 },
    {
      name: "all tasks of 0.1 CPUs that fit, despite rounding errors",
      spec: { cpus: 0.1 },
      used: 97,
      planned: 0,
      allowed: 3,
    },
  ];
for (const { name, spec, used, planned, allowed } of quotaCases) {
  test(`a team's quota allows ${name}`, () => {
    const usage = new QuotaUsage([
      { name: "blue", guaranteedCpus: 0, maxCpus: 10, guaranteedGpus: 0, maxGpus: 4 },
    ]);
    const job = { team: "blue", gpus: 0, ...spec } as JobSpec;
    for (let task = 0; task < used; task++) usage.add(job, 1);
    const plan = { cpus: job.cpus * planned, gpus: job.gpus * planned };
    assert.equal(usage.tasksAllowed(job, plan), allowed);
  });
}
