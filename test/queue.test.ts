import assert from "node:assert/strict";
import test from "node:test";
import { completionTargetsS } from "../src/coordination/scheduling/completionTargets.js";
import { cycleGapMs } from "../src/coordination/scheduling/cycleGap.js";
import { serveOrder } from "../src/coordination/scheduling/queue.js";
import type { QueueEntry } from "../src/coordination/scheduling/queueEntry.js";
import type { Job } from "../src/bookkeeping/workload.js";
import { digestOf, seededRandom, type SeededRandom } from "./fakes/seededRandom.js";

let acceptedAtMs = 0;

/** An array's entry; entries are accepted in the order in which they are made. */
function entry(
  id: string,
  remainingWork: number,
  targetsLeftS: number[],
  extra: Partial<QueueEntry> = {},
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
    targetsLeftS,
    taskS: 1,
    remainingWork,
    acceptedAtMs: acceptedAtMs++,
    ...extra,
  };
}

interface OrderCase {
  name: string;
  entries: QueueEntry[];
  /** The ids in the order of service. */
  want: string;
  /** The task limits that are set, by id; all others stay without a limit. */
  limits?: Record<string, number>;
}

test("jobs are served by priority, guarantee and targets, and no job starves", () => {
  const cases: OrderCase[] = [
    {
      name: "priority first, then the guaranteed jobs",
      entries: [
        entry("low", 1, [], { priority: 0 }),
        entry("mid", 1, []),
        entry("sure", 1, [], { isGuaranteed: true }),
        entry("top", 1, [], { priority: 3 }),
      ],
      want: "top sure mid low",
    },
    {
      name: "late jobs first, the oldest in front, but only in their part of the room",
      entries: [
        entry("new", 10, [90]),
        entry("old", 30, [], { isLate: true, demand: 2 }),
        entry("older", 20, [], { isLate: true, demand: 2, acceptedAtMs: -1 }),
        entry("huge", 900, [], { isLate: true }),
        entry("last", 20, [95], { isLate: true }),
      ],
      want: "older old new last huge",
      // Of 3.5 in a room of 10, the older takes 2, and the old one's 10 tasks of 2 in all keep to the rest.
      limits: { old: 7 },
    },
    {
      name: "a start that is overdue comes first with a few tasks, whatever its priority, the longest wait in front",
      entries: [
        entry("top", 1, [], { priority: 3 }),
        entry("begin", 900, [], { priority: 0, isStarving: true, isStartOverdue: true }),
        entry("before", 900, [], { priority: 1, isStarving: true, isStartOverdue: true, acceptedAtMs: -1 }),
        entry("waits", 1, [], { priority: 0 }),
      ],
      want: "before begin top waits",
      limits: { before: 2, begin: 2 },
    },
    {
      name: "a job of the highest priority waits for its turn, even if its start is overdue",
      entries: [entry("due", 1, [50]), entry("over", 900, [], { isStartOverdue: true })],
      want: "due over",
    },
    {
      name: "jobs without targets in the order of arrival",
      entries: [entry("a", 90, []), entry("b", 10, [])],
      want: "a b",
    },
    {
      name: "when all fit, the nearest target first",
      entries: [entry("late", 100, [90]), entry("soon", 100, [30])],
      want: "soon late",
    },
    {
      // Least time left first would make all three late.
      name: "when they don't fit, the largest steps back and the others are on time",
      entries: [entry("huge", 400, [45]), entry("a", 200, [50]), entry("b", 200, [50])],
      want: "a b huge",
    },
    {
      name: "a job that stepped back is tried at its looser target before those past all targets",
      entries: [entry("over", 10, [-5, -1]), entry("huge", 400, [30, 100]), entry("a", 200, [30, 60])],
      want: "a huge over",
    },
    {
      name: "a task longer than the time left can't be on time",
      entries: [entry("long", 10, [20], { taskS: 25 }), entry("a", 10, [90])],
      want: "a long",
    },
    {
      name: "of jobs past all targets, the smallest first",
      entries: [entry("big", 50, [-9]), entry("small", 5, [-3])],
      want: "small big",
    },
  ];
  for (const { name, entries, want, limits = {} } of cases) {
    const order = serveOrder(
      entries,
      () => 10,
      () => Infinity,
    );
    assert.equal(order.map(({ id }) => id).join(" "), want, name);
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
    taskS: 1 + random.below(30),
    acceptedAtMs: random.below(50),
  };
}

test("the order of randomly built queues is the one that was recorded", () => {
  const cases: { seed: number; entries: number; room: number; want: string }[] = [
    { seed: 1, entries: 10, room: 20, want: "5276302f3a5f7f40" },
    { seed: 2, entries: 60, room: 10, want: "3284e778d883508c" },
    { seed: 3, entries: 60, room: 200, want: "b822e3d648d8e7a4" },
    { seed: 4, entries: 200, room: 40, want: "b9c1c9ef1a7bec33" },
    { seed: 5, entries: 200, room: 1000, want: "1dae789937b540f3" },
    { seed: 6, entries: 400, room: 100, want: "bf203da96a2115ab" },
  ];
  for (const { seed, entries, room, want } of cases) {
    const random = seededRandom(seed);
    const queue = Array.from({ length: entries }, (_, i) => randomEntry(random, i));
    const order = serveOrder(
      queue,
      (priority, gpus) => room / (1 + priority) / (gpus ? 4 : 1),
      (team) => (team === "one" ? room / 3 : room),
    );
    const result = order.map(({ id, taskLimit, fairShareTasks }) => [id, taskLimit, fairShareTasks]);
    assert.equal(digestOf(result), want, `seed ${seed}`);
  }
});

test("targets come from the job's own deadline and its class's objectives", () => {
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

/** Guards the workers' leases: acknowledgements and grants have their turn between two scheduling cycles. */
test("a leader that is behind pauses for longer between scheduling cycles", () => {
  const cases: [lengthMs: number, lagMs: number, gapMs: number][] = [
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
  for (const [lengthMs, lagMs, gapMs] of cases) assert.equal(cycleGapMs(lengthMs, lagMs), gapMs);
});
