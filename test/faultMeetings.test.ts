/** Days on which faults meet each other, a change of leader or a certain kind of work: each row is one such meeting. */
import { often, testDays, type Day } from "./fakes/day.js";
import { crash } from "./fakes/faults/controllerFaults.js";
import {
  disturbBoots,
  ignoreAnyHeartbeats,
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
import { submitJobsBoundToZones, submitOverload, submitTasksOfUnequalLength } from "./fakes/themedWork.js";
import type { World } from "./fakes/world.js";

/** All controllers crash; one restarts at once, the others after `restartMs`. */
const crashAllButOneReturnsAtOnce =
  (index: number, restartMs: number) =>
  ({ controllers }: World): void =>
    controllers.names.forEach((name, at) => controllers.crash(name, at === index ? 70 : restartMs));

const meetings: Day[] = [
  {
    name: "the leadership changes to and fro, all controllers crash, one returns at once",
    seed: 705,
    alsoWithFive: true,
    duplicateShare: 0.1,
    longJobs: 4,
    steps: [
      ...often(12, 0.7, 4, crash("leader", 60)),
      [20, crashAllButOneReturnsAtOnce(0, 9000)],
      [20.5, cancelJobs(3)],
      [33, crashAllButOneReturnsAtOnce(1, 700)],
    ],
  },
  {
    name: "heartbeats are held back until a new leader has acted",
    seed: 711,
    alsoWithFive: true,
    duplicateShare: 0.1,
    duplicateWithinS: 30,
    longJobs: 4,
    steps: [
      [13, holdHeartbeats({ first: 6 }, 6000)],
      [13.5, crash("leader", 90)],
      [24, holdHeartbeats({ first: 6 }, 14_000)],
      [25, crash("leader", 2500)],
      [27, cancelJobs(3)],
    ],
  },
  {
    name: "the leader changes ten times in two minutes, also inside an outage",
    seed: 712,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 6,
    steps: [
      ...often(10, 3.1, 5, crash("leader", 90)),
      [26, stateStoreOutage(9000)],
      ...often(27, 2.3, 3, crash("leader", 200)),
      ...often(37, 4, 4, crash("leader", 1500)),
      [38, cancelJobs(3)],
    ],
  },
  {
    name: "jobs bound to one zone, arrays too, lose machines",
    seed: 713,
    alsoWithFive: true,
    submitWork: submitJobsBoundToZones,
    steps: [
      [10, loseMachines({ first: 4 })],
      [16, loseMachines({ from: 1, to: 6 })],
      [16.3, crash("leader", 90)],
      [22, isolateZone(["leader"], 12_000)],
      [36, isolateMachines({ share: 0.4 }, 12_000)],
    ],
  },
  {
    name: "tasks of a job end far apart across changes of leader, delayed transactions between",
    seed: 714,
    alsoWithFive: true,
    duplicateShare: 0.1,
    submitWork: submitTasksOfUnequalLength,
    steps: [
      [8, delayTransactions(0.3, 8000)],
      ...often(10, 5, 5, crash("leader", 90)),
      [20, delayTransactions(0.5, 5000)],
    ],
  },
  {
    name: "workers can't reach any controller, commands reach them",
    seed: 715,
    alsoWithFive: true,
    longJobs: 6,
    steps: [
      [10, ignoreAnyHeartbeats(5, 18_000)],
      [12, cancelJobs(2)],
      [20, crash("leader", 90)],
      [32, ignoreAnyHeartbeats(5, 12_000)],
    ],
  },
  {
    name: "there is more work than room, urgent and not, over slow links",
    seed: 717,
    alsoWithFive: true,
    duplicateShare: 0.05,
    submitWork: submitOverload,
    steps: [
      [3, slowLinks(250)],
      [20, ignoreAnyHeartbeats(2, 9000)],
      [45, slowLinks(0)],
    ],
  },
  {
    name: "old heartbeats arrive after newer ones, from earlier epochs and attempts, also at a new leader",
    seed: 718,
    alsoWithFive: true,
    duplicateShare: 0.35,
    duplicateWithinS: 40,
    longJobs: 4,
    steps: [
      [10, ignoreAnyHeartbeats(4, 9500)],
      [20, crash("leader", 90)],
      [24, ignoreAnyHeartbeats(4, 9500)],
      [35, crash("leader", 2500)],
    ],
  },
  {
    name: "the leader is isolated from its workers and the state store while users send invalid requests",
    seed: 721,
    alsoWithFive: true,
    steps: [
      [8, sendInvalidRequests(30_000)],
      [14, isolateController("leader", { only: ["workers"] }, 12_000)],
      [16, isolateController("leader", { only: ["state store"] }, 12_000)],
    ],
  },
  {
    name: "a flood of status queries meets a change of leader and the end of an outage",
    seed: 723,
    alsoWithFive: true,
    longJobs: 4,
    steps: [
      [8, floodWithQueries(10, 40_000)],
      [12, crash("leader", 90)],
      [18, stateStoreOutage(14_000)],
      [32.2, crash("leader", 2500)],
      [33, cancelJobs(3)],
    ],
  },
  {
    name: "machines that come up late or never meet a failover and an outage of the cloud's interface",
    seed: 724,
    alsoWithFive: true,
    steps: [
      [8, disturbBoots(4, { delayFactor: 4, neverShare: 0.4 }, 20_000)],
      [10, crash("leader", 2500)],
      [12, cloudOutage(12_000)],
      [30, disturbBoots(4, { delayFactor: 0.1, neverShare: 0 }, 10_000)],
      [31.5, crash("leader", 90)],
    ],
  },
  {
    name: "failing jobs meet faulty machines and a change of leader; they are known until they are cancelled",
    seed: 725,
    alsoWithFive: true,
    steps: [
      [8, submitFailingJobs(5, 30_000)],
      [12, makeMachinesFaulty(3, 20_000)],
      [18, crash("leader", 90)],
    ],
  },
];

testDays("faults meet", meetings, 100);
