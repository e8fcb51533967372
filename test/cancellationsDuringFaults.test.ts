/**
 * Cancellations under overlapping faults. Most observed rule violations required two overlapping faults; each scenario
 * combines such faults with cancellations. Before version 0.4.0, the first scenario violated `ran_cancelled`
 * (docs/incidents/gap.md).
 */
import { repeatedSteps, testSimulatedDays, type SimulatedDay } from "./fakes/simulatedDay.js";
import { crash, dropPeerLinks, freezeForLong } from "./fakes/faults/controllerFaults.js";
import { dropCommandsToBusyMachines, hangMachines } from "./fakes/faults/machineFaults.js";
import {
  holdHeartbeats,
  holdResponses,
  isolateController,
  isolateFromControlPlane,
  isolateMachines,
  isolateZone,
} from "./fakes/faults/networkFaults.js";
import {
  delayTransactions,
  refuseAtStateStore,
  slowStateStore,
  stateStoreOutage,
} from "./fakes/faults/serviceFaults.js";
import { cancelJobs, requestsAtCompletion } from "./fakes/faults/userFaults.js";
import { submitOverload } from "./fakes/scenarioWorkloads.js";

const scenarios: SimulatedDay[] = [
  {
    name: "jobs are cancelled while the state store rejects only the leader, just before an outage for all, twice",
    seed: 700,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 8,
    steps: [
      [16, refuseAtStateStore("leader", 20_000)],
      [16.2, cancelJobs(6)],
      [17, stateStoreOutage(34_000)],
      [56, refuseAtStateStore("leader", 14_000)],
      [56.1, cancelJobs(6)],
      [56.9, stateStoreOutage(34_000)],
    ],
  },
  {
    name: "the controller that confirms cancellations is isolated before reporting them; the others grant an extension",
    seed: 701,
    alsoWithFiveControllers: true,
    longRunningServices: 8,
    steps: [
      [16, refuseAtStateStore("leader", 20_000)],
      [16.1, isolateController({ follower: 0 }, { only: ["controllers"] }, 40_000)],
      [16.3, cancelJobs(5, { through: { follower: 0 } })],
      [17.2, stateStoreOutage(34_000)],
    ],
  },
  {
    name: "the controller that confirms cancellations crashes before reporting them; its next process reports only its own",
    seed: 702,
    alsoWithFiveControllers: true,
    longRunningServices: 8,
    steps: [
      [16, refuseAtStateStore("leader", 20_000)],
      [16.05, dropPeerLinks(1300)],
      [16.1, cancelJobs(5, { through: { follower: 0 } })],
      [17.2, crash({ follower: 0 }, 60)],
      [18.4, stateStoreOutage(38_000)],
    ],
  },
  {
    name: "commands do not reach the machines of cancelled jobs, but responses to their heartbeats do",
    seed: 703,
    alsoWithFiveControllers: true,
    longRunningServices: 8,
    steps: [
      [15, dropCommandsToBusyMachines(45_000)],
      [15.3, cancelJobs(6)],
    ],
  },
  {
    name: "the leader is isolated with its workers and users while jobs are cancelled",
    seed: 704,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 8,
    steps: [[14, isolateFromControlPlane("leader", 30_000)], ...repeatedSteps(15, 3, 4, cancelJobs(2))],
  },
  {
    name: "commands, heartbeats and their responses are held for seconds and machines hang while jobs are cancelled",
    seed: 706,
    alsoWithFiveControllers: true,
    duplicateShare: 0.1,
    longRunningServices: 8,
    steps: [
      [12, holdResponses(4, 5000)],
      [13, cancelJobs(3)],
      [20, holdHeartbeats({ first: 4 }, 5000)],
      [21, cancelJobs(3)],
      [28, cancelJobs(3, { hangMs: 6500 })],
      [36, hangMachines({ first: 4 }, 7000)],
      [37, crash("leader", 80)],
    ],
  },
  {
    name: "a cancellation, a status query or a resubmission coincides with a job's completion, with no other fault",
    seed: 707,
    alsoWithFiveControllers: true,
    steps: [[4, requestsAtCompletion(0.9, 40_000)]],
  },
  {
    name: "all controllers are down for longer than a lease, just after jobs were cancelled",
    seed: 708,
    alsoWithFiveControllers: true,
    duplicateShare: 0.1,
    longRunningServices: 8,
    steps: [
      [14.8, cancelJobs(4)],
      [15, crash("all", 11_000)],
      [40, crash("all", 9000)],
    ],
  },
  {
    name: "the state store responds slowly, then rejects the leader, then all hosts, while users cancel and query jobs",
    seed: 709,
    alsoWithFiveControllers: true,
    longRunningServices: 8,
    steps: [
      [10, slowStateStore(1200, 12_000)],
      ...repeatedSteps(11, 2, 5, cancelJobs(1)),
      [20, refuseAtStateStore("leader", 10_000)],
      [20.5, cancelJobs(2)],
      [22, stateStoreOutage(30_000)],
      [52.5, slowStateStore(1500, 12_000)],
    ],
  },
  {
    name: "a team is at its limit, the leader changes and machines are isolated while jobs are cancelled",
    seed: 710,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 6,
    submitWorkload: submitOverload,
    steps: [
      [14, isolateMachines({ share: 0.5 }, 15_000)],
      [14.5, crash("leader", 90)],
      [16, cancelJobs(3)],
      [30, isolateMachines({ share: 0.3 }, 9000)],
      [30.2, crash("leader", 3000)],
      [31, cancelJobs(3)],
    ],
  },
  {
    name: "unanswered transactions are applied late, after newer ones, while leaders change",
    seed: 716,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 6,
    steps: [
      [6, delayTransactions(0.35, 20_000)],
      [14, crash("leader", 90)],
      [15, cancelJobs(4)],
      [21, crash("leader", 3000)],
      [30, delayTransactions(0.6, 12_000)],
      [33, cancelJobs(3)],
      [36, crash("all", 200)],
    ],
  },
  {
    name: "a zone with workers and a controller is isolated for longer than a lease while jobs are cancelled",
    seed: 719,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 8,
    steps: [
      [14, isolateZone([{ follower: 0 }], 26_000)],
      [15, cancelJobs(4)],
      [20, crash("leader", 90)],
      [24, cancelJobs(2)],
    ],
  },
  {
    name: "the leader crashes while machines with long tasks are isolated or receive no response from the new leader",
    seed: 720,
    alsoWithFiveControllers: true,
    longRunningServices: 10,
    steps: [
      [14, isolateMachines({ share: 0.4 }, 13_000)],
      [14.6, crash("leader", 90)],
      [16, cancelJobs(3)],
      [30, holdResponses(5, 12_000)],
      [30.4, crash("leader", 3000)],
      [31, cancelJobs(3)],
    ],
  },
  {
    name: "a leader resumes in its old term after a freeze of more than a minute, during which jobs are cancelled",
    seed: 722,
    alsoWithFiveControllers: true,
    duplicateShare: 0.05,
    longRunningServices: 8,
    steps: [
      [14, freezeForLong("leader", 75_000)],
      [14.2, cancelJobs(4, { hangMs: 6000 })],
      [30, freezeForLong({ follower: 0 }, 62_000)],
      [34, cancelJobs(3)],
    ],
  },
];

testSimulatedDays("cancellations hold under overlapping faults", scenarios, 100);
