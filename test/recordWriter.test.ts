import assert from "node:assert/strict";
import test from "node:test";
import { encodeFinal, encodeHead, keys } from "../src/bookkeeping/records.js";
import type { CompareAndSwapOutcome, ReadOutcome } from "../src/bookkeeping/stateStoreClient.js";
import { Job } from "../src/bookkeeping/workload.js";
import { JobRecords, type JobRecordsContext } from "../src/coordination/records/jobRecords.js";
import type { LeaderTransaction, RecordMessage } from "../src/coordination/records/recordMessages.js";
import { RecordWriter, type RecordWriterContext } from "../src/coordination/records/recordWriter.js";
import { SingletonRecords } from "../src/coordination/records/singletonRecords.js";
import { JobRegistry } from "../src/coordination/term/jobRegistry.js";
import { TermLease } from "../src/coordination/term/termLease.js";
import { WriteQueue } from "../src/coordination/term/writeQueue.js";
import type { JobSpec } from "../src/protocol/model.js";
import { SimClock } from "./fakes/clock.js";

const TERM = 7;
const spec = { id: "job-1", tasks: 2, priority: 1 } as JobSpec;

/** Creates a writer with one job whose chunk 0 has unwritten changes; `stored` holds the outcomes of reads by key. */
function createWriter(stored: Record<string, ReadOutcome> = {}) {
  const clock = new SimClock();
  const jobs = new JobRegistry();
  const job = new Job(spec, new Date(0), 10, null, 0);
  jobs.add(job);
  job.markDone(0);
  const sent: LeaderTransaction["changes"][] = [];
  const reads: string[] = [];
  const messages: RecordMessage[] = [];
  const cancelled: string[] = [];
  const deposed: number[] = [];
  let dueWrites = 0;
  const jobRecords = new JobRecords({
    clock,
    jobs,
    attempts: { cancelJob: (job: Job) => cancelled.push(job.id) },
    onJobRemoved: () => undefined,
  } as unknown as JobRecordsContext);
  const lease = new TermLease(
    {
      term: TERM,
      termVersion: 5,
      writeUntilMs: Infinity,
      acknowledgeUntilMs: Infinity,
      earlierLeadershipExpiredFromMs: 0,
    },
    clock,
  );
  lease.markLoaded();
  const singletons = new SingletonRecords();
  const writer = new RecordWriter({
    clock,
    lease,
    stateStore: {
      availableWrites: () => 100,
      compareAndSwap: (_: unknown, changes: LeaderTransaction["changes"]) => {
        sent.push(changes);
        return new Promise(() => undefined);
      },
      get: (key: string) => {
        reads.push(key);
        return Promise.resolve(stored[key] ?? { kind: "absent" });
      },
    },
    jobs,
    rounds: { plannedMoves: null },
    queue: new WriteQueue(clock, () => dueWrites++),
    jobRecords,
    singletons,
    maxTransactionChanges: 20,
    post: (message: RecordMessage) => messages.push(message),
    onDeposed: (term: number) => deposed.push(term),
  } as unknown as RecordWriterContext);

  /** Makes the writer send a transaction, and applies the given outcome. */
  function write(outcome: CompareAndSwapOutcome): void {
    writer.writePendingChanges();
    writer.applyWriteOutcome({ ...EMPTY, parts: [chunkPart(job)] }, outcome);
  }

  /** Applies the outcomes of reads until no read is outstanding. */
  async function applyReads(): Promise<void> {
    for (;;) {
      await new Promise((resolve) => setImmediate(resolve));
      const message = messages.shift();
      if (message?.kind !== "reread") return;
      writer.applyRereadOutcome(message.key, message.outcome);
    }
  }

  return {
    clock,
    job,
    jobs,
    sent,
    reads,
    cancelled,
    deposed,
    singletons,
    write,
    applyReads,
    dueWrites: () => dueWrites,
  };
}

const EMPTY = {
  conditions: [],
  changes: [],
  obsoleteKeys: [],
  moves: null,
  writesMachineTypes: false,
};

function chunkPart(job: Job): LeaderTransaction["parts"][number] {
  const chunk = job.getOrCreateChunk(0);
  return { kind: "chunk", job, chunk, attempts: [], done: chunk.done.slice() };
}

test("results become durable only when their write succeeds", () => {
  const { job, sent, write } = createWriter();
  assert.equal(job.isDurablyDone(0), false);
  write({ kind: "ok", revision: 21 });
  assert.deepEqual(
    sent.map((changes) => changes.map((change) => ("put" in change ? change.put : change.delete))),
    [[keys.chunk("job-1", 0)]],
  );
  assert.equal(job.isDurablyDone(0), true);
  assert.deepEqual([job.getOrCreateChunk(0).version, job.getOrCreateChunk(0).isDirty], [21, false]);
});

const retriedOutcomes: CompareAndSwapOutcome[] = [
  { kind: "refused" },
  { kind: "no lease" },
  { kind: "unknown" },
  { kind: "conflict", failed: [] },
];
for (const outcome of retriedOutcomes) {
  test(`a write whose outcome is "${outcome.kind}"${"failed" in outcome ? " without a key" : ""} is retried after a pause`, async () => {
    const { clock, job, reads, write, dueWrites } = createWriter();
    write(outcome);
    assert.deepEqual([job.getOrCreateChunk(0).isDirty, job.isDurablyDone(0)], [true, false]);
    assert.equal(dueWrites(), 0);
    await clock.advance(150);
    assert.equal(dueWrites(), 1);
    assert.deepEqual(reads, []);
  });
}

test("a conflict on the term's key ends the term, and no read or write follows", async () => {
  const { clock, reads, deposed, write, dueWrites } = createWriter();
  write({ kind: "conflict", failed: [keys.chunk("job-1", 0), keys.term] });
  await clock.advance(10_000);
  assert.deepEqual([deposed, reads, dueWrites()], [[TERM], [], 0]);
});

function found(key: string, value: unknown): ReadOutcome {
  return { kind: "found", item: { key, value, version: 30 } };
}

const head = keys.head("job-1");
const conflictCases: {
  name: string;
  failed: string;
  stored?: Record<string, ReadOutcome>;
  reads: string[];
  check: (writer: ReturnType<typeof createWriter>) => void;
}[] = [
  {
    name: "a chunk's key updates the known version",
    failed: keys.chunk("job-1", 0),
    stored: { [keys.chunk("job-1", 0)]: found(keys.chunk("job-1", 0), {}) },
    reads: [keys.chunk("job-1", 0)],
    check: ({ job }) => assert.equal(job.getOrCreateChunk(0).version, 30),
  },
  {
    name: "a chunk's key that does not exist sets its version to 0",
    failed: keys.chunk("job-1", 0),
    reads: [keys.chunk("job-1", 0)],
    check: ({ job }) => assert.equal(job.getOrCreateChunk(0).version, 0),
  },
  {
    name: "a head applies its cancellation",
    failed: head,
    stored: {
      [head]: found(head, encodeHead({ spec, acceptedAt: new Date(1), cancelledAt: new Date(2) })),
    },
    reads: [head],
    check: ({ job, cancelled }) => assert.deepEqual([cancelled, job.headVersion], [["job-1"], 30]),
  },
  {
    name: "a deleted head with a final record removes the job",
    failed: head,
    stored: {
      [keys.final("job-1")]: found(keys.final("job-1"), encodeFinal({ isCancelled: false, tasks: 2 })),
    },
    reads: [head, keys.final("job-1")],
    check: ({ jobs }) => assert.equal(jobs.get("job-1"), undefined),
  },
  {
    name: "the machine types' key updates the known version",
    failed: keys.types,
    stored: { [keys.types]: found(keys.types, {}) },
    reads: [keys.types],
    check: ({ singletons }) => assert.deepEqual([singletons.typesVersion, singletons.movesVersion], [30, 0]),
  },
  {
    name: "the moves' key updates the known version",
    failed: keys.moves,
    stored: { [keys.moves]: found(keys.moves, {}) },
    reads: [keys.moves],
    check: ({ singletons }) => assert.deepEqual([singletons.typesVersion, singletons.movesVersion], [0, 30]),
  },
];
for (const { name, failed, stored, reads, check } of conflictCases) {
  test(`a conflict on ${name}, and the write is retried`, async () => {
    const writer = createWriter(stored);
    writer.write({ kind: "conflict", failed: [failed] });
    await writer.applyReads();
    assert.deepEqual(writer.reads, reads);
    check(writer);
    assert.equal(writer.dueWrites(), 1);
  });
}

test("a failed read of a key after a conflict is retried after a pause", async () => {
  const key = keys.chunk("job-1", 0);
  const { clock, reads, write, applyReads, dueWrites } = createWriter({ [key]: { kind: "failed" } });
  write({ kind: "conflict", failed: [key] });
  await applyReads();
  assert.deepEqual([reads, dueWrites()], [[key], 0]);
  await clock.advance(200);
  assert.deepEqual(reads, [key, key]);
});
