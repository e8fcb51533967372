/**
 * Most rules that were seen broken broke when two faults met: each row brings about one such meeting with cancellations.
 * On the sources before 0.4.0 the first row broke `ran_cancelled` (docs/incidents/gap.md).
 */
import { often, testDays, type Day } from "./fakes/day.js";
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
import { submitOverload } from "./fakes/themedWork.js";

const meetings: Day[] = [
  {
    name: "cancellations confirmed while the state store refuses the leader alone, then it is out for all, twice",
    seed: 700,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 8,
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
    name: "who confirmed them is isolated from the leader before it can say so, others confirm an extension",
    seed: 701,
    alsoWithFive: true,
    longJobs: 8,
    steps: [
      [16, refuseAtStateStore("leader", 20_000)],
      [16.1, isolateController({ follower: 0 }, { only: ["controllers"] }, 40_000)],
      [16.3, cancelJobs(5, { through: { follower: 0 } })],
      [17.2, stateStoreOutage(34_000)],
    ],
  },
  {
    name: "who confirmed them crashes before it could say so, its next process speaks for itself alone, then the outage",
    seed: 702,
    alsoWithFive: true,
    longJobs: 8,
    steps: [
      [16, refuseAtStateStore("leader", 20_000)],
      [16.05, dropPeerLinks(1300)],
      [16.1, cancelJobs(5, { through: { follower: 0 } })],
      [17.2, crash({ follower: 0 }, 60)],
      [18.4, stateStoreOutage(38_000)],
    ],
  },
  {
    name: "commands don't reach the machines of cancelled jobs, responses to their heartbeats do",
    seed: 703,
    alsoWithFive: true,
    longJobs: 8,
    steps: [
      [15, dropCommandsToBusyMachines(45_000)],
      [15.3, cancelJobs(6)],
    ],
  },
  {
    name: "the leader is isolated with its workers and users, jobs are cancelled through the new one",
    seed: 704,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 8,
    steps: [[14, isolateFromControlPlane("leader", 30_000)], ...often(15, 3, 4, cancelJobs(2))],
  },
  {
    name: "a command or its response is held up for seconds, then the machine goes on",
    seed: 706,
    alsoWithFive: true,
    duplicateShare: 0.1,
    longJobs: 8,
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
    name: "a cancellation, a status query or a resubmission meets the end of a job, with no other fault",
    seed: 707,
    alsoWithFive: true,
    steps: [[4, requestsAtCompletion(0.9, 40_000)]],
  },
  {
    name: "all controllers are away for longer than a lease, cancellations just before",
    seed: 708,
    alsoWithFive: true,
    duplicateShare: 0.1,
    longJobs: 8,
    steps: [
      [14.8, cancelJobs(4)],
      [15, crash("all", 11_000)],
      [40, crash("all", 9000)],
    ],
  },
  {
    name: "the state store responds slowly, then refuses the leader, then everybody, while users cancel and query",
    seed: 709,
    alsoWithFive: true,
    longJobs: 8,
    steps: [
      [10, slowStateStore(1200, 12_000)],
      ...often(11, 2, 5, cancelJobs(1)),
      [20, refuseAtStateStore("leader", 10_000)],
      [20.5, cancelJobs(2)],
      [22, stateStoreOutage(30_000)],
      [52.5, slowStateStore(1500, 12_000)],
    ],
  },
  {
    name: "a team is at its limit, the leader changes, some machines are isolated, and jobs are cancelled",
    seed: 710,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 6,
    submitWork: submitOverload,
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
    name: "transactions without a response are carried out late, after newer ones, leaders change",
    seed: 716,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 6,
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
    name: "a zone with workers and a controller is isolated for longer than a lease, jobs are cancelled",
    seed: 719,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 8,
    steps: [
      [14, isolateZone([{ follower: 0 }], 26_000)],
      [15, cancelJobs(4)],
      [20, crash("leader", 90)],
      [24, cancelJobs(2)],
    ],
  },
  {
    name: "the leader crashes while machines with long tasks are isolated, or don't get the new one's response",
    seed: 720,
    alsoWithFive: true,
    longJobs: 10,
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
    name: "a leader that froze for more than a minute wakes with its old term; jobs are cancelled meanwhile",
    seed: 722,
    alsoWithFive: true,
    duplicateShare: 0.05,
    longJobs: 8,
    steps: [
      [14, freezeForLong("leader", 75_000)],
      [14.2, cancelJobs(4, { hangMs: 6000 })],
      [30, freezeForLong({ follower: 0 }, 62_000)],
      [34, cancelJobs(3)],
    ],
  },
];

testDays("cancellations meet faults", meetings, 100);
