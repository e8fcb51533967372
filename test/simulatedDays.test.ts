/** Simulated days: whichever faults occur, every accepted job ends and no rule is violated. */
import { testSimulatedDays, type SimulatedDay, type ScenarioStep } from "./fakes/simulatedDay.js";
import { crash, freeze, refuseConnections } from "./fakes/faults/controllerFaults.js";
import {
  hangMachines,
  dropHeartbeats,
  loseMachines,
  makeMachinesPermanentlyFaulty,
} from "./fakes/faults/machineFaults.js";
import {
  holdResponses,
  isolateController,
  isolateFromControlPlane,
  isolateMachines,
  isolateZone,
} from "./fakes/faults/networkFaults.js";
import { cloudOutage, refuseAtStateStore, stateStoreOutage } from "./fakes/faults/serviceFaults.js";

const days: SimulatedDay[] = [
  { name: "no fault occurs", seed: 100, steps: [] },
  { name: "duplicates of requests arrive late", seed: 101, duplicateShare: 0.2, steps: [] },
  {
    name: "the leader crashes twice",
    seed: 102,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    steps: [
      [15, crash("leader", 3000)],
      [30, crash("leader", 3000)],
    ],
  },
  {
    name: "leaders crash and restart at once during an election",
    seed: 103,
    steps: [
      [15, crash("leader", 100)],
      [16.5, crash("leader", 80)],
      [18, crash("leader", 90)],
    ],
  },
  {
    name: "connections to a running leader are refused",
    seed: 104,
    duplicateShare: 0.05,
    steps: [
      [15, refuseConnections("leader")],
      [22, refuseConnections("leader")],
    ],
  },
  {
    name: "all controllers crash",
    seed: 105,
    alsoWithFiveControllers: true,
    steps: [[20, crash("all", 3000)]],
  },
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
    name: "a state store outage lasts longer than the leases",
    seed: 107,
    alsoWithFiveControllers: true,
    steps: [[15, stateStoreOutage(20_000)]],
  },
  {
    name: "the leader crashes during a state store outage",
    seed: 108,
    steps: [
      [15, stateStoreOutage(14_000)],
      [19, crash("leader", 2000)],
    ],
  },
  {
    name: "the state store rejects only the leader",
    seed: 109,
    steps: [[15, refuseAtStateStore("leader", 15_000)]],
  },
  {
    name: "the leader is isolated from the state store and packets are held",
    seed: 110,
    duplicateShare: 0.05,
    steps: [[15, isolateController("leader", { only: ["state store"] }, 15_000)]],
  },
  {
    name: "the leader is isolated from the workers and packets are held",
    seed: 111,
    steps: [[15, isolateController("leader", { only: ["workers"] }, 25_000)]],
  },
  {
    name: "the leader is isolated from the other controllers",
    seed: 112,
    steps: [[15, isolateController("leader", { only: ["controllers"] }, 20_000)]],
  },
  {
    name: "a zone's machines are isolated and packets are held",
    seed: 113,
    duplicateShare: 0.05,
    steps: [[15, isolateMachines({ zone: "b" }, 18_000)]],
  },
  {
    name: "machines hang and resume",
    seed: 114,
    duplicateShare: 0.05,
    steps: [
      [12, hangMachines({ first: 3 }, 7500)],
      [25, hangMachines({ from: 1, to: 4 }, 20_000)],
    ],
  },
  { name: "machines are lost", seed: 115, steps: [[12, loseMachines({ first: 3 })]] },
  {
    name: "machines are lost during a cloud outage",
    seed: 116,
    steps: [
      [12, cloudOutage(15_000)],
      [13, loseMachines({ first: 2 })],
    ],
  },
  {
    name: "every task that starts on one machine fails",
    seed: 117,
    steps: [[10, makeMachinesPermanentlyFaulty(1)]],
  },
  {
    name: "the heartbeats of machines arrive, but responses and commands do not reach the machines",
    seed: 118,
    alsoWithFiveControllers: true,
    steps: [[12, holdResponses(2, 22_000)]],
  },
  {
    name: "the heartbeats of machines get no response, but commands reach the machines",
    seed: 119,
    alsoWithFiveControllers: true,
    steps: [10, 14, 18, 22, 26].map((atS) => [atS, dropHeartbeats({ first: 4 }, 9500)]),
  },
  {
    name: "duplicates of heartbeats arrive late by well over a lease duration, also at new leaders",
    seed: 120,
    duplicateShare: 0.3,
    maxDuplicateDelayS: 35,
    alsoWithFiveControllers: true,
    steps: [
      [14, crash("leader", 3000)],
      [15, loseMachines({ first: 2 })],
      [26, crash("leader", 90)],
      [38, crash("leader", 3000)],
    ],
  },
  {
    name: "a controller is isolated from the state store and the other controllers, but not from its workers",
    seed: 121,
    duplicateShare: 0.05,
    alsoWithFiveControllers: true,
    steps: [
      [12, isolateFromControlPlane("leader", 18_000)],
      [34, isolateFromControlPlane("first besides leader", 14_000)],
    ],
  },
  {
    name: "controllers restart within a fraction of a second while requests are duplicated",
    seed: 122,
    duplicateShare: 0.15,
    alsoWithFiveControllers: true,
    steps: [12, 12.4, 20, 20.2, 20.5, 31].map((atS, index) => [
      atS,
      crash(index % 2 ? { index } : "leader", 60 + index * 40),
    ]),
  },
  {
    name: "leaders freeze for longer than their lease, a grant and a worker's lease, and resume with full buffers",
    seed: 123,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    steps: [
      [12, freeze("leader", 3000)],
      [20, freeze("leader", 7000)],
      [32, freeze("leader", 21_000)],
    ],
  },
  {
    name: "followers freeze, one of them just as it is about to become leader",
    seed: 124,
    alsoWithFiveControllers: true,
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
    name: "many machines are lost with their tasks, also while a new leader takes over",
    seed: 125,
    alsoWithFiveControllers: true,
    steps: [
      [12, loseMachines({ first: 6 })],
      [20, crash("leader", 90)],
      [20.5, loseMachines({ from: 2, to: 8 })],
    ],
  },
  {
    name: "a zone is isolated together with the leader",
    seed: 126,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    steps: [[14, isolateZone(["leader"], 20_000)]],
  },
  {
    name: "two zones cannot reach each other, but both reach the state store",
    seed: 127,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    steps: [[14, isolateZone(["leader"], 26_000, { allBut: ["state store", "cloud"] })]],
  },
  {
    name: "controllers restart one after the other, then all crash, each time with a state store outage",
    seed: 128,
    alsoWithFiveControllers: true,
    duplicateShare: 0.1,
    steps: [
      ...[10, 14, 18, 22, 26].map((atS, index): ScenarioStep => [atS, crash({ index }, 900)]),
      [15, stateStoreOutage(6000)],
      [
        30,
        ({ controllers }) => controllers.names.forEach((name, i) => controllers.crash(name, 80 + i * 300)),
      ],
      [31, stateStoreOutage(4000)],
    ],
  },
  {
    name: "many different faults overlap",
    seed: 129,
    alsoWithFiveControllers: true,
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

testSimulatedDays("every job ends without a rule violation", days, 400);
