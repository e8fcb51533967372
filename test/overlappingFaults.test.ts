/** Overlapping faults: each scenario combines faults with each other, a change of leader or a particular workload. */
import { repeatedSteps, testSimulatedDays, type SimulatedDay } from "./fakes/simulatedDay.js";
import { crash } from "./fakes/faults/controllerFaults.js";
import {
  disruptBoots,
  dropHeartbeatsOfConsecutiveMachines,
  loseMachines,
  makeMachinesFaulty,
} from "./fakes/faults/machineFaults.js";
import {
  holdHeartbeats,
  isolateController,
  isolateMachines,
  isolateZone,
  slowLinks,
} from "./fakes/faults/networkFaults.js";
import { cloudOutage, delayTransactions, stateStoreOutage } from "./fakes/faults/serviceFaults.js";
import {
  cancelJobs,
  floodWithQueries,
  sendInvalidRequests,
  submitFailingJobs,
} from "./fakes/faults/userFaults.js";
import {
  submitZoneBoundJobs,
  submitOverload,
  submitArraysWithUnequalRunTimes,
} from "./fakes/scenarioWorkloads.js";
import type { World } from "./fakes/world.js";

/** Crashes all controllers; the one at `index` restarts after 70 ms, the others after `restartMs`. */
const crashAllAndRestartOneAtOnce =
  (index: number, restartMs: number) =>
  ({ controllers }: World): void =>
    controllers.names.forEach((name, at) => controllers.crash(name, at === index ? 70 : restartMs));

const scenarios: SimulatedDay[] = [
  {
    name: "the leader changes repeatedly, then all controllers crash and one restarts at once",
    seed: 705,
    alsoWithFiveControllers: true,
    duplicateShare: 0.1,
    longRunningServices: 4,
    steps: [
      ...repeatedSteps(12, 0.7, 4, crash("leader", 60)),
      [20, crashAllAndRestartOneAtOnce(0, 9000)],
      [20.5, cancelJobs(3)],
      [33, crashAllAndRestartOneAtOnce(1, 700)],
    ],
  },
  {
    name: "heartbeats are held until after a new leader has acted",
    seed: 711,
    alsoWithFiveControllers: true,
    duplicateShare: 0.1,
    maxDuplicateDelayS: 30,
    longRunningServices: 4,
    steps: [
      [13, holdHeartbeats({ first: 6 }, 6000)],
      [13.5, crash("leader", 90)],
      [24, holdHeartbeats({ first: 6 }, 14_000)],
      [25, crash("leader", 2500)],
      [27, cancelJobs(3)],
    ],
  },
  {
    name: "the leader crashes repeatedly within seconds, also during a state store outage",
    seed: 712,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 6,
    steps: [
      ...repeatedSteps(10, 3.1, 5, crash("leader", 90)),
      [26, stateStoreOutage(9000)],
      ...repeatedSteps(27, 2.3, 3, crash("leader", 200)),
      ...repeatedSteps(37, 4, 4, crash("leader", 1500)),
      [38, cancelJobs(3)],
    ],
  },
  {
    name: "arrays and gangs that are bound to one zone lose machines",
    seed: 713,
    alsoWithFiveControllers: true,
    submitWorkload: submitZoneBoundJobs,
    steps: [
      [10, loseMachines({ first: 4 })],
      [16, loseMachines({ from: 1, to: 6 })],
      [16.3, crash("leader", 90)],
      [22, isolateZone(["leader"], 12_000)],
      [36, isolateMachines({ share: 0.4 }, 12_000)],
    ],
  },
  {
    name: "the tasks of a job end far apart, with changes of leader and delayed transactions in between",
    seed: 714,
    alsoWithFiveControllers: true,
    duplicateShare: 0.1,
    submitWorkload: submitArraysWithUnequalRunTimes,
    steps: [
      [8, delayTransactions(0.3, 8000)],
      ...repeatedSteps(10, 5, 5, crash("leader", 90)),
      [20, delayTransactions(0.5, 5000)],
    ],
  },
  {
    name: "workers cannot reach any controller, but commands reach them",
    seed: 715,
    alsoWithFiveControllers: true,
    longRunningServices: 6,
    steps: [
      [10, dropHeartbeatsOfConsecutiveMachines(5, 18_000)],
      [12, cancelJobs(2)],
      [20, crash("leader", 90)],
      [32, dropHeartbeatsOfConsecutiveMachines(5, 12_000)],
    ],
  },
  {
    name: "the workload of all priorities exceeds the capacity while links are slow",
    seed: 717,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    submitWorkload: submitOverload,
    steps: [
      [3, slowLinks(250)],
      [20, dropHeartbeatsOfConsecutiveMachines(2, 9000)],
      [45, slowLinks(0)],
    ],
  },
  {
    name: "old heartbeats from earlier epochs and attempts arrive after newer ones, also at a new leader",
    seed: 718,
    alsoWithFiveControllers: true,
    duplicateShare: 0.35,
    maxDuplicateDelayS: 40,
    longRunningServices: 4,
    steps: [
      [10, dropHeartbeatsOfConsecutiveMachines(4, 9500)],
      [20, crash("leader", 90)],
      [24, dropHeartbeatsOfConsecutiveMachines(4, 9500)],
      [35, crash("leader", 2500)],
    ],
  },
  {
    name: "the leader is isolated from its workers and the state store while users send invalid requests",
    seed: 721,
    alsoWithFiveControllers: true,
    steps: [
      [8, sendInvalidRequests(30_000)],
      [14, isolateController("leader", { only: ["workers"] }, 12_000)],
      [16, isolateController("leader", { only: ["state store"] }, 12_000)],
    ],
  },
  {
    name: "a flood of status queries overlaps with a change of leader and the end of a state store outage",
    seed: 723,
    alsoWithFiveControllers: true,
    longRunningServices: 4,
    steps: [
      [8, floodWithQueries(10, 40_000)],
      [12, crash("leader", 90)],
      [18, stateStoreOutage(14_000)],
      [32.2, crash("leader", 2500)],
      [33, cancelJobs(3)],
    ],
  },
  {
    name: "machines start late or never during a failover and a cloud outage",
    seed: 724,
    alsoWithFiveControllers: true,
    steps: [
      [8, disruptBoots(4, { delayFactor: 4, failureShare: 0.4 }, 20_000)],
      [10, crash("leader", 2500)],
      [12, cloudOutage(12_000)],
      [30, disruptBoots(4, { delayFactor: 0.1, failureShare: 0 }, 10_000)],
      [31.5, crash("leader", 90)],
    ],
  },
  {
    name: "failing jobs stay known until they are cancelled, despite faulty machines and a change of leader",
    seed: 725,
    alsoWithFiveControllers: true,
    steps: [
      [8, submitFailingJobs(5, 30_000)],
      [12, makeMachinesFaulty(3, 20_000)],
      [18, crash("leader", 90)],
    ],
  },
];

testSimulatedDays("every job ends without a rule violation under overlapping faults", scenarios, 100);
