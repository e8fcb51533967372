import assert from "node:assert/strict";
import test from "node:test";
import { completionTargetsS } from "../src/coordination/scheduling/completionTargets.js";
import { cycleGapMs } from "../src/coordination/scheduling/cycleGap.js";
import { schedulingOrder } from "../src/coordination/scheduling/queue.js";
import type { QueueEntry } from "../src/coordination/scheduling/queueEntry.js";
import type { Job } from "../src/bookkeeping/workload.js";
import { digestOf, seededRandom, type SeededRandom } from "./fakes/seededRandom.js";

let acceptedAtMs = 0;

/** Creates the queue entry of an array. Entries are accepted in the order in which they are created. */
function entry(
  id: string,
  remainingWork: number,
  timeToTargetsS: number[],
  overrides: Partial<QueueEntry> = {},
): QueueEntry {
  return {
    job: { spec: { team: "t", kind: "array" } } as Job,
    id,
    priority: 1,
    isGuaranteed: false,
    needsGpus: false,
    isStarving: false,
    isStartOverdue: false,
    isLate: false,
    fairShareTasks: Infinity,
    taskLimit: Infinity,
    unfinishedTasks: 10,
    demand: remainingWork,
    timeToTargetsS,
    taskRunTimeS: 1,
    remainingWork,
    acceptedAtMs: acceptedAtMs++,
    ...overrides,
  };
}

/** Queue entries, and the order and limits that they are expected to get. */
interface OrderCase {
  name: string;
  entries: QueueEntry[];
  /** The expected ids in scheduling order, separated by spaces. */
  expected: string;
  /** The expected task limits, by id; all other entries have no limit. */
  limits?: Record<string, number>;
}

test("jobs are ordered by priority, guarantee and targets, and no job starves", () => {
  const cases: OrderCase[] = [
    {
      name: "priority comes first, then the guarantee",
      entries: [
        entry("low", 1, [], { priority: 0 }),
        entry("mid", 1, []),
        entry("sure", 1, [], { isGuaranteed: true }),
        entry("top", 1, [], { priority: 3 }),
      ],
      expected: "top sure mid low",
    },
    {
      name: "late jobs come first, the oldest in front, but only within their share of the capacity",
      entries: [
        entry("new", 10, [90]),
        entry("old", 30, [], { isLate: true, demand: 2 }),
        entry("older", 20, [], { isLate: true, demand: 2, acceptedAtMs: -1 }),
        entry("huge", 900, [], { isLate: true }),
        entry("last", 20, [95], { isLate: true }),
      ],
      expected: "older old new last huge",
      // The late jobs' share is 3.5 of a capacity of 10. "older" takes 2 of it, so 7 of the 10 tasks of "old", which
      // demand 2 in all, fit into the remaining 1.5.
      limits: { old: 7 },
    },
    {
      name: "jobs with an overdue start come first with a few tasks, whatever their priority, the oldest in front",
      entries: [
        entry("top", 1, [], { priority: 3 }),
        entry("begin", 900, [], { priority: 0, isStarving: true, isStartOverdue: true }),
        entry("before", 900, [], { priority: 1, isStarving: true, isStartOverdue: true, acceptedAtMs: -1 }),
        entry("waits", 1, [], { priority: 0 }),
      ],
      expected: "before begin top waits",
      limits: { before: 2, begin: 2 },
    },
    {
      name: "an overdue start does not put a job of the highest priority ahead of its peers",
      entries: [entry("due", 1, [50]), entry("over", 900, [], { isStartOverdue: true })],
      expected: "due over",
    },
    {
      name: "jobs without targets are ordered by arrival",
      entries: [entry("a", 90, []), entry("b", 10, [])],
      expected: "a b",
    },
    {
      name: "if all jobs can be on time, the nearest target comes first",
      entries: [entry("late", 100, [90]), entry("soon", 100, [30])],
      expected: "soon late",
    },
    {
      // Earliest due date first would run "huge" first, and "a" and "b" would both be late.
      name: "if not all jobs can be on time, the largest is postponed and the others are on time",
      entries: [entry("huge", 400, [45]), entry("a", 200, [50]), entry("b", 200, [50])],
      expected: "a b huge",
    },
    {
      name: "a postponed job is ordered by its later target, before jobs that missed all targets",
      entries: [entry("over", 10, [-5, -1]), entry("huge", 400, [30, 100]), entry("a", 200, [30, 60])],
      expected: "a huge over",
    },
    {
      name: "a job whose task takes longer than the time to its target can't be on time",
      entries: [entry("long", 10, [20], { taskRunTimeS: 25 }), entry("a", 10, [90])],
      expected: "a long",
    },
    {
      name: "of jobs that missed all targets, the smallest comes first",
      entries: [entry("big", 50, [-9]), entry("small", 5, [-3])],
      expected: "small big",
    },
  ];
  for (const { name, entries, expected, limits = {} } of cases) {
    const order = schedulingOrder(
      entries,
      () => 10,
      () => Infinity,
    );
    assert.equal(order.map(({ id }) => id).join(" "), expected, name);
    for (const { id, taskLimit } of order) assert.equal(taskLimit, limits[id] ?? Infinity, `${name}: ${id}`);
  }
});

function randomEntry(random: SeededRandom, index: number): QueueEntry {
  const targets = Array.from({ length: random.below(4) }, () => random.below(120) - 20);
  const isStarving = random.chance(0.1);
  const spec = {
    team: random.pick(["one", "two", "three"]),
    kind: random.pick(["array", "array", "gang", "service"]),
    cpus: random.pick([1, 2, 4]),
    gpus: random.pick([0, 0, 1]),
    tasks: 1 + random.below(300),
  };
  return {
    ...entry(
      `job-${index}`,
      1 + random.below(500),
      targets.sort((a, b) => a - b),
    ),
    job: { spec } as Job,
    priority: random.below(4),
    isGuaranteed: random.chance(0.4),
    needsGpus: spec.gpus > 0,
    isStarving,
    isStartOverdue: isStarving && random.chance(0.5),
    isLate: random.chance(0.15),
    unfinishedTasks: 1 + random.below(300),
    demand: 1 + random.below(60),
    taskRunTimeS: 1 + random.below(30),
    acceptedAtMs: random.below(50),
  };
}

test("the scheduling order of random queues matches the recorded digests", () => {
  const cases: { seed: number; entryCount: number; capacity: number; expected: string }[] = [
    { seed: 1, entryCount: 10, capacity: 20, expected: "5276302f3a5f7f40" },
    { seed: 2, entryCount: 60, capacity: 10, expected: "3284e778d883508c" },
    { seed: 3, entryCount: 60, capacity: 200, expected: "b822e3d648d8e7a4" },
    { seed: 4, entryCount: 200, capacity: 40, expected: "b9c1c9ef1a7bec33" },
    { seed: 5, entryCount: 200, capacity: 1000, expected: "1dae789937b540f3" },
    { seed: 6, entryCount: 400, capacity: 100, expected: "bf203da96a2115ab" },
  ];
  for (const { seed, entryCount, capacity, expected } of cases) {
    const random = seededRandom(seed);
    const queue = Array.from({ length: entryCount }, (_, i) => randomEntry(random, i));
    const order = schedulingOrder(
      queue,
      (priority, needsGpus) => capacity / (1 + priority) / (needsGpus ? 4 : 1),
      (team) => (team === "one" ? capacity / 3 : capacity),
    );
    const result = order.map(({ id, taskLimit, fairShareTasks }) => [id, taskLimit, fairShareTasks]);
    assert.equal(digestOf(result), expected, `seed ${seed}`);
  }
});

test("completion targets come from a job's own deadline and its class's objectives", () => {
  const objective = (kind: string, className: string | null, withinS: number | null, times = 1) => ({
    kind,
    className,
    withinS,
    share: 0.9,
    times,
  });
  const objectives = [
    objective("deadline", "a", null, 1),
    objective("deadline", "a", null, 1.5),
    objective("finished", "b", 200),
    objective("wait", "b", 5),
    objective("finished", "b", 300),
  ];
  assert.deepEqual(completionTargetsS("a", 40, objectives), [40, 60]);
  assert.deepEqual(completionTargetsS("a", null, objectives), []);
  assert.deepEqual(completionTargetsS("b", null, objectives), [200, 300]);
  assert.deepEqual(completionTargetsS("c", 10, objectives), [10]);
});

/**
 * Guards against expired worker leases: with short gaps between long scheduling cycles, a leader acknowledges heartbeats
 * and sends grants too late.
 */
test("an overloaded leader leaves longer gaps between scheduling cycles", () => {
  const cases: [cycleDurationMs: number, lagMs: number, gapMs: number][] = [
    [0, 0, 50],
    [2, 0, 50],
    [20, 0, 200],
    [500, 0, 400],
    [500, 150, 400],
    [2, 900, 50],
    [20, 900, 200],
    [120, 900, 1200],
    [500, 900, 1500],
  ];
  for (const [cycleDurationMs, lagMs, gapMs] of cases)
    assert.equal(cycleGapMs(cycleDurationMs, lagMs), gapMs);
});
