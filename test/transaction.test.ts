import assert from "node:assert/strict";
import test from "node:test";
import { Job, type Attempt, Machine } from "../src/bookkeeping/workload.js";
import {
  composeTransaction,
  findWaitingWrites,
  type Transaction,
  type TransactionLimits,
} from "../src/bookkeeping/transaction.js";
import { keys } from "../src/bookkeeping/records.js";
import type { JobSpec } from "../src/protocol/model.js";

const TERM_VERSION = 5;
const limits: TransactionLimits = { changes: 20, deferredChunks: 20, bytes: 60_000 };

/** Keys and their versions, as the state store holds them. */
class Store {
  readonly versions = new Map<string, number>([[keys.term, TERM_VERSION]]);
  private revision = 100;

  /** Keys whose condition fails; executed when there are none. */
  commit(transaction: Transaction): string[] {
    const failed = transaction.conditions
      .filter((condition) => (this.versions.get(condition.key) ?? 0) !== condition.version)
      .map((condition) => condition.key);
    if (failed.length > 0) return failed;
    this.revision++;
    for (const change of transaction.changes) {
      if ("put" in change) this.versions.set(change.put, this.revision);
      else this.versions.delete(change.delete);
    }
    return [];
  }

  /** As another controller or a later leader changes it. */
  touch(key: string): void {
    this.versions.set(key, ++this.revision);
  }
}

function jobIn(store: Store): Job {
  const spec = { id: "job-1", tasks: 2, priority: 1, cpus: 1, gpus: 0, memoryGb: 1, image: "i", imageGb: 1 };
  store.touch(keys.head("job-1"));
  const version = store.versions.get(keys.head("job-1"))!;
  return new Job(spec as JobSpec, new Date(0), version, null, 0);
}

/** Plans an attempt of the task, which makes its chunk urgent. */
function planAttempt(job: Job, task: number, number: number): Attempt {
  const machine = new Machine("m1", "a", 1, 0);
  const attempt = { job, task, number, machine, isDurable: false } as Attempt;
  job.attach(attempt);
  job.chunkOf(task).isUrgent = true;
  return attempt;
}

const compose = (job: Job): Transaction => composeTransaction([job], new Map(), TERM_VERSION, limits);

/** What the leader changes after the response that its write was executed. */
function applyWrite(store: Store, job: Job): void {
  for (const chunk of job.chunks.values()) {
    chunk.version = store.versions.get(keys.chunk(job.id, chunk.index)) ?? 0;
    chunk.isDirty = chunk.isUrgent = false;
  }
}

/** A transaction without a response may be executed seconds later, after newer ones: it must change nothing then. */
const lateStarts: { name: string; meanwhile: (store: Store, job: Job) => void; failed: string[] }[] = [
  { name: "nothing has happened: it counts", meanwhile: () => undefined, failed: [] },
  {
    name: "the job was cancelled: no start is planned any more",
    meanwhile: (store) => store.touch(keys.head("job-1")),
    failed: [keys.head("job-1")],
  },
  {
    name: "it was sent again, and that one was executed: a key that did not exist exists",
    meanwhile: (store, job) => assert.deepEqual(store.commit(compose(job)), []),
    failed: [keys.chunk("job-1", 0)],
  },
  {
    name: "a later leader has begun",
    meanwhile: (store) => store.touch(keys.term),
    failed: [keys.term],
  },
  {
    name: "the job is over, its chunk key is gone again, and the final key is there",
    meanwhile: (store, job) => {
      assert.deepEqual(store.commit(compose(job)), []);
      applyWrite(store, job);
      for (const attempt of [...job.attempts]) job.detach(attempt);
      job.markDone(0);
      job.markDone(1);
      assert.deepEqual(store.commit(compose(job)), []);
      assert.deepEqual([...store.versions.keys()].sort(), [keys.final("job-1"), keys.term]);
    },
    failed: [keys.head("job-1")],
  },
];
for (const { name, meanwhile, failed } of lateStarts) {
  test(`a late transaction with starts: ${name}`, () => {
    const store = new Store();
    const job = jobIn(store);
    planAttempt(job, 0, 7);
    const first = compose(job);
    meanwhile(store, job);
    assert.deepEqual(store.commit(first), failed);
  });
}

test("a late transaction that ends a job changes nothing once the job has moved, was cancelled, or has new starts", () => {
  const cases: [string, (store: Store, job: Job) => void, string[]][] = [
    [
      "moved already",
      (store, job) => void store.commit(compose(job)),
      [keys.head("job-1"), keys.final("job-1"), keys.chunk("job-1", 0)],
    ],
    [
      "cancelled since, which its users have seen",
      (store) => store.touch(keys.head("job-1")),
      [keys.head("job-1")],
    ],
    ["its chunk was written since", (store) => store.touch(keys.chunk("job-1", 0)), [keys.chunk("job-1", 0)]],
  ];
  for (const [name, meanwhile, failed] of cases) {
    const store = new Store();
    const job = jobIn(store);
    const attempt = planAttempt(job, 0, 7);
    assert.deepEqual(store.commit(compose(job)), []);
    applyWrite(store, job);
    job.detach(attempt);
    job.markDone(0);
    job.markDone(1);
    const last = compose(job);
    assert.ok(last.changes.some((change) => "put" in change && change.put === keys.final("job-1")));
    meanwhile(store, job);
    assert.deepEqual(store.commit(last), failed, name);
  }
});

interface JobDraft {
  id: string;
  priority?: number;
  tasks?: number;
  /** Tasks with a planned attempt, which nothing stores yet. */
  planned?: number[];
  done?: number[];
  isCancelled?: boolean;
}

function draftJob({
  id,
  priority = 1,
  tasks = 1024,
  planned = [],
  done = [],
  isCancelled = false,
}: JobDraft): Job {
  const cancelledAt = isCancelled ? new Date(1) : null;
  const job = new Job({ id, tasks, priority } as JobSpec, new Date(0), 10, cancelledAt, 0);
  for (const task of planned) planAttempt(job, task, task + 1);
  for (const task of done) job.markDone(task);
  return job;
}

const waitingCases: {
  name: string;
  jobs: JobDraft[];
  urgent?: string[];
  finished?: string[];
  deferred?: string[];
}[] = [
  { name: "a job without changes waits for nothing", jobs: [{ id: "job-1" }] },
  { name: "a planned attempt is urgent", jobs: [{ id: "job-1", planned: [0] }], urgent: ["job-1/0"] },
  { name: "a result can wait", jobs: [{ id: "job-1", done: [300] }], deferred: ["job-1/1"] },
  {
    name: "a result beside a planned attempt is as urgent as that",
    jobs: [{ id: "job-1", planned: [0], done: [1, 300] }],
    urgent: ["job-1/0"],
    deferred: ["job-1/1"],
  },
  {
    name: "planned attempts come by priority, in the order of jobs within one",
    jobs: [
      { id: "job-1", planned: [0] },
      { id: "job-2", priority: 3, planned: [0, 256] },
      { id: "job-3", planned: [0] },
    ],
    urgent: ["job-2/0", "job-2/1", "job-1/0", "job-3/0"],
  },
  {
    name: "a job whose tasks are all done is finished",
    jobs: [{ id: "job-1", tasks: 2, done: [0, 1] }],
    finished: ["job-1"],
  },
  {
    name: "a cancelled job without attempts is finished",
    jobs: [{ id: "job-1", isCancelled: true }],
    finished: ["job-1"],
  },
  {
    name: "a cancelled job with an attempt is not: the attempt has to be proved gone",
    jobs: [{ id: "job-1", isCancelled: true, planned: [0] }],
    urgent: ["job-1/0"],
  },
];
for (const { name, jobs, urgent = [], finished = [], deferred = [] } of waitingCases) {
  test(`what waits to be written: ${name}`, () => {
    const waiting = findWaitingWrites(jobs.map(draftJob));
    const namesOf = (chunks: typeof waiting.urgentChunks): string[] =>
      chunks.map(({ job, chunk }) => `${job.id}/${chunk.index}`);
    assert.deepEqual(namesOf(waiting.urgentChunks), urgent);
    assert.deepEqual(
      waiting.finishedJobs.map((job) => job.id),
      finished,
    );
    assert.deepEqual(namesOf(waiting.deferredChunks), deferred);
  });
}

const CHUNK_0 = "put c/job-1/0";
const CHUNK_1 = "put c/job-1/1";
const FINAL = ["put f/job-2", "delete j/job-2"];
const limitCases: {
  name: string;
  limits: Partial<TransactionLimits>;
  obsolete: string[];
  changes: string[];
}[] = [
  {
    name: "all of it",
    limits: {},
    obsolete: ["c/old/0"],
    changes: [CHUNK_0, ...FINAL, CHUNK_1, "delete c/old/0"],
  },
  {
    name: "starts alone when there is room for one change",
    limits: { changes: 1 },
    obsolete: ["c/old/0"],
    changes: [CHUNK_0],
  },
  {
    name: "a job's move whole or not at all; results in its place",
    limits: { changes: 2 },
    obsolete: [],
    changes: [CHUNK_0, CHUNK_1],
  },
  {
    name: "no results that have to leave room to others",
    limits: { deferredChunks: 0 },
    obsolete: [],
    changes: [CHUNK_0, ...FINAL],
  },
  {
    name: "obsolete keys in the first half only",
    limits: { changes: 10 },
    obsolete: ["c/old/0", "c/old/1", "c/old/2"],
    changes: [CHUNK_0, ...FINAL, CHUNK_1, "delete c/old/0"],
  },
  { name: "nothing that is too large", limits: { bytes: 300 }, obsolete: [], changes: [] },
];
for (const { name, limits: changed, obsolete, changes } of limitCases) {
  test(`a transaction holds within its limits: ${name}`, () => {
    const jobs = [
      draftJob({ id: "job-1", planned: [0], done: [300] }),
      draftJob({ id: "job-2", tasks: 1, done: [0] }),
    ];
    const obsoleteKeys = new Map(obsolete.map((key) => [key, 1]));
    const transaction = composeTransaction(jobs, obsoleteKeys, TERM_VERSION, { ...limits, ...changed });
    const names = transaction.changes.map((change) =>
      "put" in change ? `put ${change.put}` : `delete ${change.delete}`,
    );
    assert.deepEqual(names, changes);
    assert.ok(transaction.conditions.length <= (changed.changes ?? limits.changes) * 4);
  });
}

test("a finished job's stored chunks go with it when they are few; those of a large job become obsolete later", () => {
  const cases: [chunks: number, dropped: number][] = [
    [4, 4],
    [5, 0],
  ];
  for (const [chunks, dropped] of cases) {
    const job = draftJob({ id: "job-1", isCancelled: true });
    for (let index = 0; index < chunks; index++) job.chunkOf(index * 256).version = 20;
    const chunkDrops = compose(job).changes.filter(
      (change) => "delete" in change && change.delete.startsWith(keys.chunks),
    );
    assert.equal(chunkDrops.length, dropped, `${chunks} chunks`);
  }
});
