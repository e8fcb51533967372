import assert from "node:assert/strict";
import test from "node:test";
import { Job, type Attempt, Machine } from "../src/bookkeeping/workload.js";
import { composeTransaction, type Transaction } from "../src/bookkeeping/transaction.js";
import { keys } from "../src/bookkeeping/records.js";
import type { JobSpec } from "../src/protocol/model.js";

const limits = { changes: 20, deferredChanges: 20, bytes: 60_000 };

/** Keys and their versions, as the state service has them. */
class Store {
  readonly versions = new Map<string, number>([[keys.term, 5]]);
  private revision = 100;

  /** Keys whose guard fails; carried out when there are none. */
  commit(transaction: Transaction): string[] {
    const failed = transaction.conditions
      .filter((g) => (this.versions.get(g.key) ?? 0) !== g.version)
      .map((g) => g.key);
    if (failed.length > 0) return failed;
    this.revision++;
    for (const change of transaction.changes) {
      if ("put" in change) this.versions.set(change.put, this.revision);
      else this.versions.delete(change.delete);
    }
    return [];
  }

  /** As another node or a later leader changes it. */
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

function plan(job: Job, task: number, number: number): Attempt {
  const a = {
    job,
    task,
    number,
    machine: new Machine("m1", null, "a", false, 1, 0),
    isDurable: false,
  } as Attempt;
  job.attach(a);
  job.chunkOf(task).isUrgent = true;
  return a;
}

const compose = (job: Job): Transaction => composeTransaction([job], new Map(), 5, limits);

/** What the leader takes over from an answer that says it was carried out. */
function applied(store: Store, job: Job): void {
  for (const chunk of job.chunks.values()) {
    chunk.version = store.versions.get(keys.chunk(job.id, chunk.index)) ?? 0;
    chunk.isDirty = chunk.isUrgent = false;
  }
}

/** A transaction without an answer may be carried out seconds later, after newer ones: it must change nothing then. */
const late: { name: string; meanwhile: (store: Store, job: Job) => void; failed: string[] }[] = [
  { name: "nothing has happened: it counts", meanwhile: () => undefined, failed: [] },
  {
    name: "the job was cancelled: no start is planned any more",
    meanwhile: (store) => store.touch(keys.head("job-1")),
    failed: [keys.head("job-1")],
  },
  {
    name: "it was sent again, and that one was carried out: a key that did not exist exists",
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
      applied(store, job);
      for (const a of [...job.attempts]) job.detach(a);
      job.markDone(0);
      job.markDone(1);
      assert.deepEqual(store.commit(compose(job)), []);
      assert.deepEqual([...store.versions.keys()].sort(), [keys.final("job-1"), keys.term]);
    },
    failed: [keys.head("job-1")],
  },
];
for (const c of late) {
  test(`a late transaction with starts: ${c.name}`, () => {
    const store = new Store();
    const job = jobIn(store);
    plan(job, 0, 7);
    const first = compose(job);
    c.meanwhile(store, job);
    assert.deepEqual(store.commit(first), c.failed);
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
      "cancelled since: its users were told so",
      (store) => store.touch(keys.head("job-1")),
      [keys.head("job-1")],
    ],
    ["its chunk was written since", (store) => store.touch(keys.chunk("job-1", 0)), [keys.chunk("job-1", 0)]],
  ];
  for (const [name, meanwhile, failed] of cases) {
    const store = new Store();
    const job = jobIn(store);
    const attempt = plan(job, 0, 7);
    assert.deepEqual(store.commit(compose(job)), []);
    applied(store, job);
    job.detach(attempt);
    job.markDone(0);
    job.markDone(1);
    const last = compose(job);
    assert.ok(last.changes.some((x) => "put" in x && x.put === keys.final("job-1")));
    meanwhile(store, job);
    assert.deepEqual(store.commit(last), failed, name);
  }
});
