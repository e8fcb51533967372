import assert from "node:assert/strict";
import test from "node:test";
import { play, type Day } from "./fakes/day.js";
import {
  alone,
  anyNode,
  anyWorker,
  crashLeader,
  cutLeader,
  cutOff,
  cutZone,
  deafen,
  followers,
  isPeer,
  isState,
  isWorker,
  leaderHost,
  type Trouble,
} from "./fakes/troubles.js";
import { submitMixedWork } from "./fakes/mixedWork.js";
import { World } from "./fakes/world.js";

/** Whole days on fakes: whatever fails, no rule breaks, and every accepted job comes to its end. */
const days: Day[] = [
  { name: "quiet", at: [] },
  { name: "late copies of old requests", repeat: 0.2, at: [] },
  {
    name: "leader crashes twice",
    grown: true,
    repeat: 0.05,
    at: [
      [15, crashLeader(3000)],
      [30, crashLeader(3000)],
    ],
  },
  {
    name: "instant restart in the middle of an election",
    at: [
      [15, crashLeader(100)],
      [16.5, crashLeader(80)],
      [18, crashLeader(90)],
    ],
  },
  {
    name: "a leader that lives refuses connections",
    repeat: 0.05,
    at: [
      [15, (w) => w.controllers.reportPeerRefused(w.controllers.leaderOrFirst)],
      [22, (w) => w.controllers.reportPeerRefused(w.controllers.leaderOrFirst)],
    ],
  },
  {
    name: "all controllers crash",
    grown: true,
    at: [[20, (w) => w.controllers.names.forEach((n) => w.controllers.crash(n, 3000))]],
  },
  {
    name: "rolling restart",
    at: [
      [10, (w) => w.controllers.crash("n0", 2000)],
      [20, (w) => w.controllers.crash("n1", 2000)],
      [30, (w) => w.controllers.crash("n2", 2000)],
    ],
  },
  {
    name: "state outage longer than the leases",
    grown: true,
    at: [[15, (w) => w.stateStore.startOutage(20_000)]],
  },
  {
    name: "state outage with a crash of the leader",
    at: [
      [15, (w) => w.stateStore.startOutage(14_000)],
      [19, crashLeader(2000)],
    ],
  },
  {
    name: "leader refused by the state service alone",
    at: [[15, (w) => w.stateStore.refuseHost(leaderHost(w), 15_000)]],
  },
  {
    name: "leader cut from the state service, packets held",
    repeat: 0.05,
    at: [[15, (w) => cutLeader(w, isState, 15_000)]],
  },
  {
    name: "leader cut from the workers, packets held",
    at: [[15, (w) => cutLeader(w, isWorker, 25_000)]],
  },
  {
    name: "leader cut from its peers",
    at: [[15, (w) => cutLeader(w, isPeer, 20_000)]],
  },
  {
    name: "a zone's machines cut off, packets held",
    repeat: 0.05,
    at: [
      [
        15,
        (world) => {
          const inB = new Set(
            [...world.fleet.workers.values()]
              .filter((x) => x.machine.zone === "b")
              .map((x) => x.machine.address),
          );
          world.net.partition(
            (h) => inB.has(h),
            () => true,
            18_000,
          );
        },
      ],
    ],
  },
  {
    name: "machines hang and go on",
    repeat: 0.05,
    at: [
      [12, (w) => [...w.fleet.workers.values()].slice(0, 3).forEach((x) => x.hang(7500))],
      [25, (w) => [...w.fleet.workers.values()].slice(1, 4).forEach((x) => x.hang(20_000))],
    ],
  },
  {
    name: "machines vanish",
    at: [[12, (w) => [...w.fleet.workers.keys()].slice(0, 3).forEach((n) => w.cloud.loseMachine(n))]],
  },
  {
    name: "cloud outage while machines vanish",
    at: [
      [12, (w) => w.cloud.startOutage(15_000)],
      [13, (w) => [...w.fleet.workers.keys()].slice(0, 2).forEach((n) => w.cloud.loseMachine(n))],
    ],
  },
  {
    name: "a machine fails whatever it starts",
    at: [
      [
        10,
        (w) => {
          const [n] = w.fleet.workers.keys();
          if (n) w.fleet.faultyMachines.add(n);
        },
      ],
    ],
  },
  {
    name: "a machine is heard, but answers and commands don't reach it",
    grown: true,
    at: [[12, (w) => deafen(w, 2, 22_000)]],
  },
  {
    name: "a machine's reports get no answer, but commands reach it",
    grown: true,
    at: [10, 14, 18, 22, 26].map((s) => [
      s,
      (w: World) =>
        [...w.fleet.workers.keys()].slice(0, 4).forEach((n) => w.controllers.dropHeartbeatResponses(n, 9500)),
    ]),
  },
  {
    name: "copies of reports come well over a lease late, also to new leaders",
    repeat: 0.3,
    repeatWithinS: 35,
    grown: true,
    at: [
      [14, crashLeader(3000)],
      [15, (w) => [...w.fleet.workers.keys()].slice(0, 2).forEach((n) => w.cloud.loseMachine(n))],
      [26, crashLeader(90)],
      [38, crashLeader(3000)],
    ],
  },
  {
    name: "a controller loses the state service and the others, but not its workers",
    repeat: 0.05,
    grown: true,
    at: [
      [12, (w) => alone(w, leaderHost(w), 18_000)],
      [
        34,
        (w) =>
          alone(
            w,
            w.controllers.names.map((n) => `${n}:80`).find((h) => h !== leaderHost(w))!,
            14_000,
          ),
      ],
    ],
  },
  {
    name: "processes back within a fraction of a second, with repeats",
    repeat: 0.15,
    grown: true,
    at: [12, 12.4, 20, 20.2, 20.5, 31].map((s, i) => [
      s,
      (w: World) =>
        w.controllers.crash(
          i % 2 ? w.controllers.names[i % w.controllers.names.length]! : w.controllers.leaderOrFirst,
          60 + i * 40,
        ),
    ]),
  },
  {
    name: "the leader stands still, then the next one: longer than hold, grant and lease, waking with full buffers",
    grown: true,
    repeat: 0.05,
    at: [
      [12, (w) => w.controllers.freeze(w.controllers.leaderOrFirst, 3000)],
      [20, (w) => w.controllers.freeze(w.controllers.leaderOrFirst, 7000)],
      [32, (w) => w.controllers.freeze(w.controllers.leaderOrFirst, 21_000)],
    ],
  },
  {
    name: "followers stand still, one after the other, and one just as it is to lead",
    grown: true,
    repeat: 0.05,
    at: [
      [12, (w) => w.controllers.freeze(followers(w)[0]!, 9000)],
      [22, (w) => followers(w).forEach((n) => w.controllers.freeze(n, 2500))],
      [
        33,
        (w) => {
          const [next] = followers(w);
          w.controllers.crash(w.controllers.leaderOrFirst, 90);
          w.clock.after(300, () => w.controllers.freeze(next!, 12_000));
        },
      ],
    ],
  },
  {
    name: "many machines stop with all that is on them, also while a new leader begins",
    grown: true,
    at: [
      [12, (w) => [...w.fleet.workers.keys()].slice(0, 6).forEach((n) => w.cloud.loseMachine(n))],
      [20, crashLeader(90)],
      [20.5, (w) => [...w.fleet.workers.keys()].slice(2, 8).forEach((n) => w.cloud.loseMachine(n))],
    ],
  },
  {
    name: "a zone is cut off with a controller in it, which leads",
    grown: true,
    repeat: 0.05,
    at: [[14, (w) => cutZone(w, w.controllers.leaderOrFirst, 20_000)]],
  },
  {
    name: "two zones can't reach each other, the state service is reached from both",
    grown: true,
    repeat: 0.05,
    at: [
      [14, (w) => cutZone(w, w.controllers.leaderOrFirst, 26_000, (h) => h !== "state:1" && h !== "cloud:1")],
    ],
  },
  {
    name: "state service down while all controllers are restarted one after the other, and all end",
    grown: true,
    repeat: 0.1,
    at: [
      ...[10, 14, 18, 22, 26].map((s, i): [number, Trouble] => [
        s,
        (w) => w.controllers.crash(w.controllers.names[i % w.controllers.names.length]!, 900),
      ]),
      [15, (w) => w.stateStore.startOutage(6000)],
      [30, (w) => w.controllers.names.forEach((n, i) => w.controllers.crash(n, 80 + i * 300))],
      [31, (w) => w.stateStore.startOutage(4000)],
    ],
  },
  {
    name: "much at once",
    grown: true,
    repeat: 0.1,
    at: [
      [12, (w) => w.stateStore.startOutage(9000)],
      [14, (w) => [...w.fleet.workers.values()].slice(0, 2).forEach((x) => x.hang(9000))],
      [16, crashLeader(1500)],
      [24, crashLeader(200)],
      [25, (w) => cutLeader(w, isWorker, 9000)],
      [32, (w) => w.cloud.startOutage(6000)],
      [33, (w) => [...w.fleet.workers.keys()].slice(0, 2).forEach((n) => w.cloud.loseMachine(n))],
    ],
  },
];

for (const [index, day] of days.entries()) {
  test(`a day: ${day.name}`, () => play(new World(100 + index), day));
  if (day.grown)
    test(`a day with 5 controllers: ${day.name}`, () =>
      play(new World(500 + index, { controllerCount: 5 }), day));
}

/**
 * Days drawn from a seed: a handful of overlapping troubles each. Seed 139 freed the place of a gang's member
 * while it still waited, after another member's kept result had finished the job (rule `quota`).
 */
for (const seed of [4, 61, 139, 230, 301, 302]) {
  test(`a drawn day: seed ${seed}`, async () => {
    const w = new World(seed);
    const trouble: Trouble[] = [
      (x) => x.controllers.crash(x.leader ?? "n0", x.random() < 0.5 ? 80 : 3000),
      (x) => x.controllers.crash(`n${Math.floor(x.random() * 3)}`, 50 + x.random() * 3000),
      (x) => x.stateStore.startOutage(2000 + x.random() * 20_000),
      (x) => x.stateStore.refuseHost(leaderHost(x), 2000 + x.random() * 20_000),
      (x) => cutLeader(x, isState, 2000 + x.random() * 20_000),
      (x) => cutLeader(x, isWorker, 2000 + x.random() * 20_000),
      (x) => [0, 1, 2].forEach(() => anyWorker(x)?.hang(x.random() * 20_000)),
      (x) => x.cloud.loseMachine(anyWorker(x)?.machine.id ?? ""),
      (x) => x.cloud.startOutage(2000 + x.random() * 20_000),
      (x) => {
        const far = new Set(
          [...x.fleet.workers.values()].filter((m) => m.machine.zone === "b").map((m) => m.machine.address),
        );
        x.net.partition(
          (h) => far.has(h) || h === "n1:80",
          (h) => !far.has(h) && h !== "n1:80",
          2000 + x.random() * 20_000,
        );
      },
    ];
    w.net.duplicateShare = 0.1;
    await w.run(3);
    for (let i = 0; i < 7; i++) {
      const what = trouble[Math.floor(w.random() * trouble.length)]!;
      w.clock.after(5000 + w.random() * 45_000, () => what(w));
    }
    await submitMixedWork(w, 55);
    await w.run(130);
    assert.deepEqual(w.violations, []);
    assert.deepEqual(w.users.unfinishedJobs(), []);
  });
}

/**
 * Drawn days with controllers in two zones, which are cut off, stand still and end together. Seed 1097 lost a worker's
 * last word between two controllers for ever; seed 2076 left a gang's member waiting alone after a change of leader.
 */
for (const seed of [1003, 1097, 2012, 2076]) {
  test(`a drawn day with controllers in two zones: seed ${seed}`, async () => {
    const w = new World(seed, { controllerCount: 5, zones: ["a", "a", "a", "b", "b"], capacity: 14 });
    const inB = w.fleet.zoneHosts("b", "n3:80", "n4:80");
    const region = ["state:1", "cloud:1", "user:1"];
    const upTo = (ms: number): number => 2000 + w.random() * ms;
    const trouble: (() => void)[] = [
      () => w.controllers.crash(w.controllers.leaderOrFirst, w.random() < 0.5 ? 80 : 3000),
      () => w.controllers.crash(anyNode(w), 50 + w.random() * 3000),
      () => w.controllers.names.forEach((n) => w.controllers.crash(n, 80 + w.random() * 3000)),
      () => w.stateStore.startOutage(upTo(20_000)),
      () => w.controllers.freeze(w.controllers.leaderOrFirst, upTo(20_000)),
      () => w.controllers.freeze(anyNode(w), upTo(20_000)),
      () => cutLeader(w, isState, upTo(20_000)),
      () => alone(w, `${anyNode(w)}:80`, upTo(25_000)),
      () => cutOff(w, `${anyNode(w)}:80`, isWorker, upTo(25_000)),
      () => w.net.partition(inB, (h) => !inB(h), upTo(40_000)),
      () => w.net.partition(inB, (h) => !inB(h) && !region.includes(h), upTo(40_000)),
      () => [0, 1, 2].forEach(() => anyWorker(w)?.hang(w.random() * 20_000)),
      () => [0, 1, 2].forEach(() => w.cloud.loseMachine(anyWorker(w)?.machine.id ?? "")),
    ];
    w.net.duplicateShare = 0.1;
    w.net.duplicateWithinMs = 30_000;
    await w.run(3);
    for (let i = 0; i < 8; i++) {
      const what = trouble[Math.floor(w.random() * trouble.length)]!;
      w.clock.after(5000 + w.random() * 50_000, what);
    }
    w.faultFreeFromMs = w.clock.nowMs() + 100_000;
    await submitMixedWork(w, 60);
    await w.run(150);
    assert.deepEqual(w.violations, []);
    assert.deepEqual(w.users.unfinishedJobs(), []);
  });
}
