import assert from "node:assert/strict";
import test from "node:test";
import { Job, type Attempt, Machine } from "../src/bookkeeping/workload.js";
import {
  composeTransaction,
  findPendingWrites,
  type Transaction,
  type TransactionLimits,
} from "../src/bookkeeping/transaction.js";
import { keys } from "../src/bookkeeping/records.js";
import type { JobSpec } from "../src/protocol/model.js";

const TERM_VERSION = 5;
const limits: TransactionLimits = { changes: 20, deferredChunks: 20, bytes: 60_000 };

/** A fake state store that holds only keys and their versions. */
class Store {
  readonly versions = new Map<string, number>([[keys.term, TERM_VERSION]]);
  private revision = 100;

  /** Executes the transaction if all conditions hold; returns the keys whose conditions failed. */
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

  /** Changes a key as another controller or a later leader does. */
  touch(key: string): void {
    this.versions.set(key, ++this.revision);
  }
}

function createStoredJob(store: Store): Job {
  const spec = { id: "job-1", tasks: 2, priority: 1, cpus: 1, gpus: 0, memoryGb: 1, image: "i", imageGb: 1 };
  store.touch(keys.head("job-1"));
  const version = store.versions.get(keys.head("job-1"))!;
  return new Job(spec as JobSpec, new Date(0), version, null, 0);
}

/** Plans an attempt of the task, and marks its chunk as urgent. */
function planAttempt(job: Job, task: number, number: number): Attempt {
  const machine = new Machine("m1", "a", 1, 0);
  const attempt = { job, task, number, machine, isDurable: false } as Attempt;
  job.attach(attempt);
  job.getOrCreateChunk(task).isUrgent = true;
  return attempt;
}

const compose = (job: Job): Transaction => composeTransaction([job], new Map(), TERM_VERSION, limits);

/** Updates the job's chunks as the leader does after a successful write. */
function applyWrite(store: Store, job: Job): void {
  for (const chunk of job.chunks.values()) {
    chunk.version = store.versions.get(keys.chunk(job.id, chunk.index)) ?? 0;
    chunk.isDirty = chunk.isUrgent = false;
  }
}

/** A transaction without a response may be executed seconds later, after newer ones, and must then change nothing. */
const lateTransactionCases: {
  name: string;
  changeStore: (store: Store, job: Job) => void;
  failed: string[];
}[] = [
  { name: "is executed if nothing has changed", changeStore: () => undefined, failed: [] },
  {
    name: "fails if the job has been cancelled",
    changeStore: (store) => store.touch(keys.head("job-1")),
    failed: [keys.head("job-1")],
  },
  {
    name: "fails if a retry of it has already been executed and created the chunk's key",
    changeStore: (store, job) => assert.deepEqual(store.commit(compose(job)), []),
    failed: [keys.chunk("job-1", 0)],
  },
  {
    name: "fails if a later term has begun",
    changeStore: (store) => store.touch(keys.term),
    failed: [keys.term],
  },
  {
    name: "fails if the job has finished, so that its chunk is deleted and its final record exists",
    changeStore: (store, job) => {
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
for (const { name, changeStore, failed } of lateTransactionCases) {
  test(`a delayed transaction with starts ${name}`, () => {
    const store = new Store();
    const job = createStoredJob(store);
    planAttempt(job, 0, 7);
    const first = compose(job);
    changeStore(store, job);
    assert.deepEqual(store.commit(first), failed);
  });
}

test("a delayed final write fails if the job is already finalized, was cancelled or has a rewritten chunk", () => {
  const cases: [string, (store: Store, job: Job) => void, string[]][] = [
    [
      "the job is already finalized",
      (store, job) => void store.commit(compose(job)),
      [keys.head("job-1"), keys.final("job-1"), keys.chunk("job-1", 0)],
    ],
    [
      "the job was cancelled in the meantime, and users have seen that",
      (store) => store.touch(keys.head("job-1")),
      [keys.head("job-1")],
    ],
    [
      "its chunk was written in the meantime",
      (store) => store.touch(keys.chunk("job-1", 0)),
      [keys.chunk("job-1", 0)],
    ],
  ];
  for (const [name, changeStore, failed] of cases) {
    const store = new Store();
    const job = createStoredJob(store);
    const attempt = planAttempt(job, 0, 7);
    assert.deepEqual(store.commit(compose(job)), []);
    applyWrite(store, job);
    job.detach(attempt);
    job.markDone(0);
    job.markDone(1);
    const last = compose(job);
    assert.ok(last.changes.some((change) => "put" in change && change.put === keys.final("job-1")));
    changeStore(store, job);
    assert.deepEqual(store.commit(last), failed, name);
  }
});

interface JobOptions {
  id: string;
  priority?: number;
  tasks?: number;
  /** Tasks with a planned attempt that is not durable. */
  planned?: number[];
  done?: number[];
  isCancelled?: boolean;
}

function buildJob({
  id,
  priority = 1,
  tasks = 1024,
  planned = [],
  done = [],
  isCancelled = false,
}: JobOptions): Job {
  const cancelledAt = isCancelled ? new Date(1) : null;
  const job = new Job({ id, tasks, priority } as JobSpec, new Date(0), 10, cancelledAt, 0);
  for (const task of planned) planAttempt(job, task, task + 1);
  for (const task of done) job.markDone(task);
  return job;
}

const pendingWriteCases: {
  name: string;
  jobs: JobOptions[];
  urgent?: string[];
  finished?: string[];
  deferred?: string[];
}[] = [
  { name: "a job without changes has none", jobs: [{ id: "job-1" }] },
  {
    name: "a planned attempt makes its chunk urgent",
    jobs: [{ id: "job-1", planned: [0] }],
    urgent: ["job-1/0"],
  },
  {
    name: "a chunk with only a result is deferred",
    jobs: [{ id: "job-1", done: [300] }],
    deferred: ["job-1/1"],
  },
  {
    name: "a result in the same chunk as a planned attempt is urgent as well",
    jobs: [{ id: "job-1", planned: [0], done: [1, 300] }],
    urgent: ["job-1/0"],
    deferred: ["job-1/1"],
  },
  {
    name: "urgent chunks are sorted by job priority, and keep the job order within one priority",
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
    name: "a cancelled job is not finished until its attempt is confirmed gone",
    jobs: [{ id: "job-1", isCancelled: true, planned: [0] }],
    urgent: ["job-1/0"],
  },
];
for (const { name, jobs, urgent = [], finished = [], deferred = [] } of pendingWriteCases) {
  test(`pending writes: ${name}`, () => {
    const pending = findPendingWrites(jobs.map(buildJob));
    const namesOf = (chunks: typeof pending.urgentChunks): string[] =>
      chunks.map(({ job, chunk }) => `${job.id}/${chunk.index}`);
    assert.deepEqual(namesOf(pending.urgentChunks), urgent);
    assert.deepEqual(
      pending.finishedJobs.map((job) => job.id),
      finished,
    );
    assert.deepEqual(namesOf(pending.deferredChunks), deferred);
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
    name: "everything fits within the default limits",
    limits: {},
    obsolete: ["c/old/0"],
    changes: [CHUNK_0, ...FINAL, CHUNK_1, "delete c/old/0"],
  },
  {
    name: "only the chunk with starts fits into one change",
    limits: { changes: 1 },
    obsolete: ["c/old/0"],
    changes: [CHUNK_0],
  },
  {
    name: "a final record that does not fit as a whole is left out in favour of results",
    limits: { changes: 2 },
    obsolete: [],
    changes: [CHUNK_0, CHUNK_1],
  },
  {
    name: "no chunk with only results is written beyond the limit of deferred chunks",
    limits: { deferredChunks: 0 },
    obsolete: [],
    changes: [CHUNK_0, ...FINAL],
  },
  {
    name: "obsolete keys are deleted only while the transaction is less than half full",
    limits: { changes: 10 },
    obsolete: ["c/old/0", "c/old/1", "c/old/2"],
    changes: [CHUNK_0, ...FINAL, CHUNK_1, "delete c/old/0"],
  },
  { name: "changes beyond the size limit are left out", limits: { bytes: 300 }, obsolete: [], changes: [] },
];
for (const { name, limits: overrides, obsolete, changes } of limitCases) {
  test(`a transaction respects its limits: ${name}`, () => {
    const jobs = [
      buildJob({ id: "job-1", planned: [0], done: [300] }),
      buildJob({ id: "job-2", tasks: 1, done: [0] }),
    ];
    const obsoleteKeys = new Map(obsolete.map((key) => [key, 1]));
    const transaction = composeTransaction(jobs, obsoleteKeys, TERM_VERSION, { ...limits, ...overrides });
    const names = transaction.changes.map((change) =>
      "put" in change ? `put ${change.put}` : `delete ${change.delete}`,
    );
    assert.deepEqual(names, changes);
    assert.ok(transaction.conditions.length <= (overrides.changes ?? limits.changes) * 4);
  });
}

test("the final write deletes the chunks of a small job and leaves those of a large job for later deletion", () => {
  const cases: [chunks: number, deleted: number][] = [
    [4, 4],
    [5, 0],
  ];
  for (const [chunks, deleted] of cases) {
    const job = buildJob({ id: "job-1", isCancelled: true });
    for (let index = 0; index < chunks; index++) job.getOrCreateChunk(index * 256).version = 20;
    const chunkDeletions = compose(job).changes.filter(
      (change) => "delete" in change && change.delete.startsWith(keys.chunkPrefix),
    );
    assert.equal(chunkDeletions.length, deleted, `${chunks} chunks`);
  }
});
