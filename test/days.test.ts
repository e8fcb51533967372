/** Whole days on fakes: whatever fails, no rule breaks, and every accepted job comes to its end. */
import { testDays, type Day, type Step } from "./fakes/day.js";
import { crash, freeze, refuseConnections } from "./fakes/faults/controllerFaults.js";
import {
  hangMachines,
  ignoreHeartbeats,
  loseMachines,
  makeMachinesFaultyForEver,
} from "./fakes/faults/machineFaults.js";
import {
  holdResponses,
  isolateController,
  isolateFromControlPlane,
  isolateMachines,
  isolateZone,
} from "./fakes/faults/networkFaults.js";
import { cloudOutage, refuseAtStateStore, stateStoreOutage } from "./fakes/faults/serviceFaults.js";

const days: Day[] = [
  { name: "nothing fails", seed: 100, steps: [] },
  { name: "late copies of old requests arrive", seed: 101, duplicateShare: 0.2, steps: [] },
  {
    name: "the leader crashes twice",
    seed: 102,
    alsoWithFive: true,
    duplicateShare: 0.05,
    steps: [
      [15, crash("leader", 3000)],
      [30, crash("leader", 3000)],
    ],
  },
  {
    name: "leaders restart at once in the middle of an election",
    seed: 103,
    steps: [
      [15, crash("leader", 100)],
      [16.5, crash("leader", 80)],
      [18, crash("leader", 90)],
    ],
  },
  {
    name: "a leader that runs refuses connections",
    seed: 104,
    duplicateShare: 0.05,
    steps: [
      [15, refuseConnections("leader")],
      [22, refuseConnections("leader")],
    ],
  },
  { name: "all controllers crash", seed: 105, alsoWithFive: true, steps: [[20, crash("all", 3000)]] },
  {
    name: "the controllers are restarted one after the other",
    seed: 106,
    steps: [
      [10, crash({ name: "n0" }, 2000)],
      [20, crash({ name: "n1" }, 2000)],
      [30, crash({ name: "n2" }, 2000)],
    ],
  },
  {
    name: "the state store is out for longer than the leases",
    seed: 107,
    alsoWithFive: true,
    steps: [[15, stateStoreOutage(20_000)]],
  },
  {
    name: "the leader crashes in an outage of the state store",
    seed: 108,
    steps: [
      [15, stateStoreOutage(14_000)],
      [19, crash("leader", 2000)],
    ],
  },
  {
    name: "the state store refuses the leader alone",
    seed: 109,
    steps: [[15, refuseAtStateStore("leader", 15_000)]],
  },
  {
    name: "the leader is isolated from the state store, packets are held",
    seed: 110,
    duplicateShare: 0.05,
    steps: [[15, isolateController("leader", { only: ["state store"] }, 15_000)]],
  },
  {
    name: "the leader is isolated from the workers, packets are held",
    seed: 111,
    steps: [[15, isolateController("leader", { only: ["workers"] }, 25_000)]],
  },
  {
    name: "the leader is isolated from the other controllers",
    seed: 112,
    steps: [[15, isolateController("leader", { only: ["controllers"] }, 20_000)]],
  },
  {
    name: "a zone's machines are isolated, packets are held",
    seed: 113,
    duplicateShare: 0.05,
    steps: [[15, isolateMachines({ zone: "b" }, 18_000)]],
  },
  {
    name: "machines hang and go on",
    seed: 114,
    duplicateShare: 0.05,
    steps: [
      [12, hangMachines({ first: 3 }, 7500)],
      [25, hangMachines({ from: 1, to: 4 }, 20_000)],
    ],
  },
  { name: "machines are lost", seed: 115, steps: [[12, loseMachines({ first: 3 })]] },
  {
    name: "machines are lost in an outage of the cloud",
    seed: 116,
    steps: [
      [12, cloudOutage(15_000)],
      [13, loseMachines({ first: 2 })],
    ],
  },
  {
    name: "a machine fails whatever it starts",
    seed: 117,
    steps: [[10, makeMachinesFaultyForEver(1)]],
  },
  {
    name: "a machine's heartbeats arrive, but responses and commands don't reach it",
    seed: 118,
    alsoWithFive: true,
    steps: [[12, holdResponses(2, 22_000)]],
  },
  {
    name: "a machine's heartbeats get no response, but commands reach it",
    seed: 119,
    alsoWithFive: true,
    steps: [10, 14, 18, 22, 26].map((atS) => [atS, ignoreHeartbeats({ first: 4 }, 9500)]),
  },
  {
    name: "copies of heartbeats arrive well over a lease late, also at new leaders",
    seed: 120,
    duplicateShare: 0.3,
    duplicateWithinS: 35,
    alsoWithFive: true,
    steps: [
      [14, crash("leader", 3000)],
      [15, loseMachines({ first: 2 })],
      [26, crash("leader", 90)],
      [38, crash("leader", 3000)],
    ],
  },
  {
    name: "a controller loses the state store and the other controllers, but not its workers",
    seed: 121,
    duplicateShare: 0.05,
    alsoWithFive: true,
    steps: [
      [12, isolateFromControlPlane("leader", 18_000)],
      [34, isolateFromControlPlane("first besides leader", 14_000)],
    ],
  },
  {
    name: "processes are back within a fraction of a second, with duplicates of requests",
    seed: 122,
    duplicateShare: 0.15,
    alsoWithFive: true,
    steps: [12, 12.4, 20, 20.2, 20.5, 31].map((atS, index) => [
      atS,
      crash(index % 2 ? { index } : "leader", 60 + index * 40),
    ]),
  },
  {
    name: "leaders freeze for longer than their lease, a grant and a worker's lease, and wake with full buffers",
    seed: 123,
    alsoWithFive: true,
    duplicateShare: 0.05,
    steps: [
      [12, freeze("leader", 3000)],
      [20, freeze("leader", 7000)],
      [32, freeze("leader", 21_000)],
    ],
  },
  {
    name: "followers freeze, one after the other, and one just as it is to lead",
    seed: 124,
    alsoWithFive: true,
    duplicateShare: 0.05,
    steps: [
      [12, freeze({ follower: 0 }, 9000)],
      [22, freeze("followers", 2500)],
      [
        33,
        ({ clock, controllers }) => {
          const [next] = controllers.followers;
          controllers.crash(controllers.leaderOrFirst, 90);
          clock.after(300, () => controllers.freeze(next!, 12_000));
        },
      ],
    ],
  },
  {
    name: "many machines are lost with all that is on them, also while a new leader begins",
    seed: 125,
    alsoWithFive: true,
    steps: [
      [12, loseMachines({ first: 6 })],
      [20, crash("leader", 90)],
      [20.5, loseMachines({ from: 2, to: 8 })],
    ],
  },
  {
    name: "a zone is isolated with a controller in it, which leads",
    seed: 126,
    alsoWithFive: true,
    duplicateShare: 0.05,
    steps: [[14, isolateZone(["leader"], 20_000)]],
  },
  {
    name: "two zones can't reach each other, the state store is reached from both",
    seed: 127,
    alsoWithFive: true,
    duplicateShare: 0.05,
    steps: [[14, isolateZone(["leader"], 26_000, { allBut: ["state store", "cloud"] })]],
  },
  {
    name: "the state store is out while all controllers are restarted one after the other, and all crash",
    seed: 128,
    alsoWithFive: true,
    duplicateShare: 0.1,
    steps: [
      ...[10, 14, 18, 22, 26].map((atS, index): Step => [atS, crash({ index }, 900)]),
      [15, stateStoreOutage(6000)],
      [
        30,
        ({ controllers }) => controllers.names.forEach((name, i) => controllers.crash(name, 80 + i * 300)),
      ],
      [31, stateStoreOutage(4000)],
    ],
  },
  {
    name: "much fails at once",
    seed: 129,
    alsoWithFive: true,
    duplicateShare: 0.1,
    steps: [
      [12, stateStoreOutage(9000)],
      [14, hangMachines({ first: 2 }, 9000)],
      [16, crash("leader", 1500)],
      [24, crash("leader", 200)],
      [25, isolateController("leader", { only: ["workers"] }, 9000)],
      [32, cloudOutage(6000)],
      [33, loseMachines({ first: 2 })],
    ],
  },
];

testDays("a day", days, 400);
