import assert from "node:assert/strict";
import test from "node:test";
import { place } from "../src/coordination/scheduling/placement.js";
import type { Reservation } from "../src/coordination/scheduling/placementPlan.js";
import { emptyMachineView, type JobView, type MachineView } from "../src/coordination/scheduling/views.js";
import type { JobSpec, MachineType } from "../src/protocol/model.js";
import { World } from "./fakes/world.js";

const ROOMY = { one: { cpus: 5000, gpus: 500 }, two: { cpus: 5000, gpus: 500 } };

/**
 * Smaller work that keeps coming takes every machine that comes free, for ever, unless room is kept for who has waited
 * long. The largest must begin within four minutes, and the small ones must not stand still for it.
 */
test("a gang of 32 whole machines in one zone begins under a steady stream of small gangs", async () => {
  const world = new World(21, { controllerCount: 5, capacity: 44, limits: ROOMY });
  await world.run(3);
  const gang = { form: "ensemble", gpus: 2, cores: 8, memoryGb: 30, together: true, cairnS: 2, stashS: 1 };
  let n = 0;
  const small = (): void => {
    world.users.submit({ ...gang, ref: `job-1${String(n++).padStart(5, "0")}`, crew: "two", spores: 1 }, 12);
  };
  for (let i = 0; i < 44; i++) small();
  await world.run(6);
  for (let i = 0; i < 14; i++) {
    for (let k = 0; k < 3; k++) small();
    await world.run(1);
  }
  const big = world.users.submit({ ...gang, ref: "job-000032", crew: "one", spores: 32 }, 10);
  for (let s = 0; s < 240 && big.firstStartAtMs === null; s++) {
    for (let i = 0; i < 3; i++) small();
    await world.run(1);
  }
  assert.ok(big.firstStartAtMs !== null, "began within four minutes");
  assert.deepEqual(world.violations, []);
  await world.run(45);
  const jobs = [...world.users.jobs.values()];
  const begun = jobs.filter((j) => j.firstStartAtMs !== null).length;
  assert.ok(begun * 2 > jobs.length, `${begun} of ${jobs.length} begun`);
  assert.equal(big.finalPhase, "done");
});

/** In order of arrival, the first of a guest's large arrays took all the free room until it was over. */
test("a team's arrays without targets share the room, and what one leaves is for the others", async () => {
  const w = new World(26, { controllerCount: 3, capacity: 8 });
  await w.run(3);
  const array = { crew: "two", rank: "best_effort", cores: 1, memoryGb: 1 };
  const large = [0, 1, 2].map((i) => w.users.submit({ ref: `job-00000${i}`, ...array, spores: 150 }, 12));
  const small = w.users.submit({ ref: "job-000009", ...array, spores: 2 }, 12);
  await w.run(60);
  const running = large.map((j) => w.fleet.liveTasks(j.spec.ref).length);
  assert.ok(Math.min(...running) >= 5, `running: ${running.join(", ")} of 24`);
  assert.equal(small.finalPhase, "done");
  for (const j of large.slice(1)) w.users.cancel(j);
  await w.run(25);
  const left = w.fleet.liveTasks("job-000000").length;
  assert.ok(left >= 20, `${left} of 24 run once the others are gone`);
  assert.deepEqual(w.violations, []);
});

/**
 * At the team's limit, small tasks took what came free piece by piece, so a task of five times their size waited until they
 * had all gone (docs/incidents/inc-809f.md).
 */
for (const [rank, withinS] of [
  ["high", 16],
  ["standard", 40],
] as const) {
  test(`at its team's limit a large gang (${rank}) gets what small tasks of the team leave`, async () => {
    const w = new World(25, { controllerCount: 3, capacity: 60 });
    await w.run(3);
    let n = 0;
    const small = (): void => {
      w.users.submit({ ref: `job-1${String(n++).padStart(5, "0")}`, spores: 12, cores: 2, memoryGb: 2 }, 5);
    };
    for (let i = 0; i < 6; i++) small();
    await w.run(15);
    const gang = { form: "ensemble", spores: 1, cores: 10, memoryGb: 8, rank, together: true };
    const large = [0, 1, 2].map((i) => w.users.submit({ ref: `job-00000${i}`, ...gang }, 8));
    for (let s = 0; s < 60; s++) {
      if (s % 2) small();
      await w.run(1);
    }
    const waitedS = large.map((j) => Math.round(((j.firstStartAtMs ?? Infinity) - j.submittedAtMs) / 1000));
    // A machine has to boot; two of them fit under the limit, the third follows.
    assert.ok(Math.max(...waitedS) < withinS, `begun after ${waitedS.join(", ")} s`);
    const begun = [...w.users.jobs.values()].filter((j) => j.firstStartAtMs !== null).length;
    assert.ok(begun > 8, `${begun} jobs begun: the small ones go on`);
    assert.deepEqual(w.violations, []);
  });
}

test("an array of 300 tasks begins though smaller ones with nearer deadlines never end", async () => {
  const world = new World(22, { controllerCount: 5, capacity: 10, limits: ROOMY });
  await world.run(3);
  let n = 0;
  const small = (): void => {
    const ref = `job-1${String(n++).padStart(5, "0")}`;
    world.users.submit({ ref, crew: "two", spores: 8, cores: 2, memoryGb: 4, dueS: 30 }, 6);
  };
  for (let i = 0; i < 15; i++) small();
  await world.run(15);
  const big = world.users.submit(
    { ref: "job-000300", crew: "one", spores: 300, cores: 2, memoryGb: 4, dueS: 60 },
    6,
  );
  for (let s = 0; s < 240 && big.firstStartAtMs === null; s++) {
    small();
    if (s % 2) small();
    await world.run(1);
  }
  assert.ok(big.firstStartAtMs !== null, "began within four minutes");
  assert.deepEqual(world.violations, []);
});

/** Hearing a machine is no proof that it hears us: placed there, work would wait until a lease proves it gone. */
test("a machine that answers and commands don't reach gets no new work, and is trusted again afterwards", async () => {
  const world = new World(23, { controllerCount: 5, capacity: 4 });
  await world.run(3);
  const service = { form: "standing", rank: "prod", cores: 2, windfall: false };
  world.users.submit({ ref: "job-000001", ...service, spores: 6, memoryGb: 8 }, null);
  await world.run(20);
  const deaf = [...world.fleet.workers.values()].find((x) => x.tasks.size > 0)!;
  const address = deaf.machine.address;
  world.net.partition(
    () => true,
    (h) => h === address,
    30_000,
    true,
  );
  await world.run(0.5);
  // What is on its way when it falls deaf is lost; whatever comes after that goes elsewhere.
  const first = world.users.submit({ ref: "job-000002", crew: "two", spores: 12, cores: 1, memoryGb: 1 }, 2);
  await world.run(9);
  const late = [];
  for (let i = 0; i < 24; i++) {
    const ref = `job-0001${String(i).padStart(2, "0")}`;
    late.push(world.users.submit({ ref, crew: "two", spores: 1, cores: 1, memoryGb: 1 }, 2));
    await world.run(0.4);
  }
  await world.run(5);
  for (const j of late) {
    assert.ok(
      j.firstStartAtMs !== null && j.firstStartAtMs - j.submittedAtMs < 7500,
      `${j.spec.ref} began after ${j.firstStartAtMs! - j.submittedAtMs} ms`,
    );
  }
  await world.run(40);
  assert.equal(first.finalPhase, "done");
  assert.deepEqual(world.violations, []);
  assert.equal(world.fleet.liveTasks("job-000001").length, 6);
});

/** It answers commands, so starts would succeed there, and die with the lease that no report renews. */
test("a machine whose reports reach no controller gets no new work, though commands reach it", async () => {
  const world = new World(24, { controllerCount: 5, capacity: 6 });
  await world.run(3);
  const accel = { crew: "two", spores: 1, cores: 0.25, breeds: ["accel"], memoryGb: 1, windfall: false };
  world.users.submit({ ref: "job-000001", ...accel }, 3);
  await world.run(12);
  const [ref] = [...world.fleet.workers].find(([, x]) => x.machine.type === "accel")!;
  const begun: string[] = [];
  world.onTaskStart = (on, task) => {
    if (on.machine.id === ref) begun.push(task.name);
  };
  world.controllers.dropHeartbeatResponses(ref, 60_000);
  // Work for this kind of machine alone keeps coming, so that commands keep going there and their answers coming back.
  const late = [];
  for (let i = 0; i < 40; i++) {
    late.push(world.users.submit({ ref: `job-0001${String(i).padStart(2, "0")}`, ...accel }, 1));
    await world.run(0.5);
    // So long it may have been heard before its reports stopped.
    if (i === 12) begun.length = 0;
  }
  assert.deepEqual(begun, [], "nothing began there");
  await world.run(20);
  for (const j of late) assert.ok(j.doneTasks.size === 1, `${j.spec.ref} done`);
  assert.deepEqual(world.violations, []);
});

function type(name: string, cpus: number): MachineType {
  return {
    name,
    cpus,
    gpus: 0,
    memoryGb: cpus * 4,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 30,
    zones: ["a", "b"],
  };
}

function job(i: number, change: Partial<JobSpec> = {}): JobView {
  const spec: JobSpec = {
    id: `job-${i}`,
    className: "c",
    team: "t",
    kind: "array",
    priority: 1,
    tasks: 40,
    cpus: 2,
    gpus: 0,
    memoryGb: 4,
    image: `img-${i % 12}`,
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 20,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...change,
  };
  return {
    spec,
    pending: spec.tasks,
    taskLimit: Infinity,
    fairShareTasks: Infinity,
    isGuaranteed: false,
    zones: new Map(),
    avoid: new Set(),
    waitTargetLeftS: null,
    preferredMachine: null,
    taskS: 20,
    isStarving: false,
  };
}

function input(
  jobs: JobView[],
  machines: MachineView[],
  holds: Reservation[] = [],
): Parameters<typeof place>[0] {
  return {
    jobs,
    machines,
    incoming: [],
    reservations: holds,
    quota: {
      room: () => Infinity,
      roomWhenStopped: () => Infinity,
      attainable: () => Infinity,
      take: () => undefined,
    },
    maxEvictions: 40,
    maxPreemptors: 8,
    canPreemptFor: () => false,
    isRefused: () => false,
    isGuaranteed: () => true,
    interruptionsPerHour: 1,
    nowMs: 0,
  };
}

function machines(n: number, full: (i: number) => boolean): MachineView[] {
  return Array.from({ length: n }, (_, i) => {
    const view = emptyMachineView(type("m", 16), i % 2 ? "a" : "b", false, null);
    view.name = `host-${i}`;
    if (full(i)) view.free = { cpus: 0, gpus: 0, memoryGb: 0 };
    return view;
  });
}

test("a cycle over hundreds of full machines looks at those with room, not at jobs times machines", () => {
  const jobs = Array.from({ length: 120 }, (_, i) => job(i));
  const plan = place(
    input(
      jobs,
      machines(600, (i) => i % 100 !== 0),
    ),
  );
  assert.equal(
    plan.placements.reduce((n, p) => n + p.tasks, 0),
    6 * 8,
    "what room there is, is used",
  );
  // Once for the list of those with room, then a handful for each job until nothing is left.
  assert.ok(plan.machinesExamined < 600 + 120 * 6 + 1, `${plan.machinesExamined} looks`);
  const idle = place(
    input(
      [job(1), job(2)],
      machines(600, () => false),
    ),
  );
  assert.ok(idle.machinesExamined <= 3 * 600, `${idle.machinesExamined} looks with room everywhere`);
});

test("room is sought by stopping others once for a shape that nobody's going helps, not once for each job", () => {
  const jobs = Array.from({ length: 200 }, (_, i) => ({ ...job(i), isGuaranteed: true }));
  const full = machines(1000, () => true);
  const plan = place({ ...input(jobs, full), canPreemptFor: () => true });
  assert.deepEqual([plan.placements.length, plan.evictions.length], [0, 0]);
  assert.ok(
    plan.machinesExamined <= 2 * 1000,
    `${plan.machinesExamined} looks at 1,000 machines for ${jobs.length} jobs`,
  );
});

test("room kept for a gang is lent to what is over before the rest of it comes, and to nothing else", () => {
  const gang = job(9, { kind: "gang", tasks: 3, cpus: 16, memoryGb: 10, oneZone: true });
  gang.isStarving = true;
  const start = place(
    input(
      [gang],
      machines(6, (i) => i > 3),
    ),
  );
  assert.equal(start.placements.length, 0, "two in each zone do not hold a gang of three");
  assert.equal(start.reservations.length, 2);
  const cases: [string, number, boolean][] = [
    ["short", 5, true],
    ["long", 500, false],
  ];
  for (const [name, taskS, want] of cases) {
    const other = job(1, {
      tasks: 1,
      cpus: 16,
      memoryGb: 10,
      zone: start.reservations[0]!.machine === "host-0" ? "b" : "a",
    });
    other.taskS = taskS;
    const holds = start.reservations.map((h) => ({ ...h, etaS: 60 }));
    const plan = place(
      input(
        [other, gang],
        machines(6, (i) => i > 3),
        holds,
      ),
    );
    assert.equal(
      plan.placements.some((p) => p.jobId === "job-1"),
      want,
      name,
    );
  }
});

/** A node with too many questions at once sheds some; the same ones each time would be jobs that are forgotten. */
test("a full node sheds questions, but no job's every time", async () => {
  const world = new World(33, { controllerCount: 5 });
  await world.run(3);
  const refs = Array.from({ length: 420 }, (_, i) => `job-7${String(i).padStart(5, "0")}`);
  for (const ref of refs)
    world.users.submit({ ref, spores: 1, cores: 0.125, memoryGb: 0.125, crew: "two" }, null);
  await world.run(25);
  const answered = new Map(refs.map((ref) => [ref, 0]));
  let shed = 0;
  const refused: string[] = [];
  for (let round = 0; round < 20; round++) {
    for (const ref of refs) {
      void world.users.request("GET", `/v1/jobs/${ref}`, undefined, "n0").then((r) => {
        if (r.status === 200) answered.set(ref, answered.get(ref)! + 1);
        else shed++;
      });
    }
    // In the midst of the flood: submissions and cancellations say something new.
    const ref = `job-6${String(round).padStart(5, "0")}`;
    const body = { ...world.users.jobs.get(refs[0]!)!.spec, ref };
    const job = refs[round]!;
    world.users.jobs.get(job)!.isCancelRequested = true;
    for (const [path, sent] of [
      ["/v1/jobs", body],
      [`/v1/jobs/${job}/cancel`, undefined],
    ] as const) {
      void world.users.request("POST", path, sent, "n0").then((r) => {
        if (r.status === 503) refused.push(path);
      });
    }
    await world.run(2.5);
  }
  assert.ok(shed > 200, `${shed} were shed`);
  assert.deepEqual(refused, [], "no change is refused for questions");
  const worst = Math.min(...answered.values());
  assert.ok(worst >= 3, `each job is answered within 75 s, the worst ${worst} of 20 times`);
  assert.deepEqual(world.violations, []);
});

/** Copies of its last report, for ever and at every node, must not keep a machine that is gone alive in anybody's eyes. */
test("late copies of a lost machine's report neither renew its lease nor bring it back", async () => {
  const world = new World(34, { controllerCount: 5, capacity: 6 });
  const sent = new Map<string, unknown>();
  world.controllers.onHeartbeat = (body) => sent.set((body as { tuft: string }).tuft, body);
  await world.run(3);
  const service = { form: "standing", rank: "prod", cores: 2, memoryGb: 4, windfall: false };
  world.users.submit({ ref: "job-000001", ...service, spores: 4 }, null);
  await world.run(20);
  const lost = [...world.fleet.workers.values()].find((x) => x.tasks.size > 0)!;
  const { id } = lost.machine;
  const copy = sent.get(id)!;
  world.cloud.loseMachine(id);
  for (let i = 0; i < 40; i++) {
    for (const node of world.controllers.names)
      void world.users.request("POST", "/checkin", copy, node).catch(() => undefined);
    if (i === 25) world.controllers.crash(world.leader!, 90);
    await world.run(0.5);
  }
  assert.equal(world.fleet.liveTasks("job-000001").length, 4, "its tasks run elsewhere, a lease later");
  assert.ok([...world.fleet.workers.keys()].every((name) => name !== id));
  assert.deepEqual(world.violations, []);
});
