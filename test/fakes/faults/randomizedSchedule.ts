/**
 * The randomized schedule of a simulated day: the size of the world, and faults with their times. A seed reproduces the
 * same day only as long as the candidate faults keep their order and all code here and in the faults draws random
 * numbers in the same order.
 */
import type { WorldOptions } from "../world.js";
import type { Amount } from "./amounts.js";
import {
  crash,
  crashAndRestartTogether,
  freeze,
  freezeForLong,
  refuseConnections,
} from "./controllerFaults.js";
import { inSequence, delayed, repeated, type Fault } from "./fault.js";
import {
  disruptBoots,
  hangRandomMachines,
  dropHeartbeatsOfConsecutiveMachines,
  loseRandomMachines,
  makeMachinesFaulty,
} from "./machineFaults.js";
import { holdResponses, isolateController, isolateFromControlPlane, isolateZone } from "./networkFaults.js";
import { cloudOutage, delayTransactions, refuseAtStateStore, stateStoreOutage } from "./serviceFaults.js";
import {
  cancelJobs,
  floodWithQueries,
  requestsAtCompletion,
  sendInvalidRequests,
  submitFailingJobs,
} from "./userFaults.js";

/** A random duration, uniform from 1.5 s to 1.5 s plus `spreadMs`. */
function randomDuration(spreadMs: number): Amount {
  return { from: 1500, spread: spreadMs };
}

const CANCELLATIONS = "cancellations";
const LONG_FREEZE_MS: Amount = { from: 60_000, spread: 60_000 };

/** The faults from which days are generated, with the names under which the output for a failed day lists them. */
const CANDIDATE_FAULTS: [name: string, fault: Fault][] = [
  ["leader crashes, restarts at once", crash("leader", { from: 40, spread: 200 })],
  ["leader crashes, restarts within seconds", crash("leader", randomDuration(4000))],
  ["a controller crashes", crash("any", { from: 50, spread: 4000 })],
  ["all controllers crash", crash("all", { from: 60, spread: 3000 })],
  [
    "all controllers down for longer than a lease",
    crashAndRestartTogether("all", { from: 8500, spread: 3000 }),
  ],
  ["ten leaders crash in succession", repeated(10, 3500, crash("leader", { from: 40, spread: 3000 }))],
  ["state store outage", stateStoreOutage(randomDuration(36_000))],
  ["leader refused by the state store", refuseAtStateStore("leader", randomDuration(20_000))],
  ["a controller refused by the state store", refuseAtStateStore("any", randomDuration(20_000))],
  [
    "leader refused by the state store, then state store outage",
    inSequence(
      refuseAtStateStore("leader", 20_000),
      delayed({ from: 200, spread: 3500 }, stateStoreOutage(randomDuration(36_000))),
    ),
  ],
  ["delayed transactions", delayTransactions({ from: 0.1, spread: 0.4 }, randomDuration(20_000))],
  [
    "leader isolated from the state store",
    isolateController("leader", { only: ["state store"] }, randomDuration(20_000)),
  ],
  [
    "leader isolated from workers",
    isolateController("leader", { only: ["workers"] }, randomDuration(25_000)),
  ],
  [
    "a controller isolated from workers",
    isolateController("any", { only: ["workers"] }, randomDuration(25_000)),
  ],
  [
    "leader isolated from other controllers",
    isolateController("leader", { only: ["controllers"] }, randomDuration(20_000)),
  ],
  ["leader isolated from the control plane", isolateFromControlPlane("leader", randomDuration(30_000))],
  ["a controller isolated from the control plane", isolateFromControlPlane("any", randomDuration(30_000))],
  ["connections to the leader refused", refuseConnections("leader")],
  ["leader freezes", freeze("leader", randomDuration(20_000))],
  ["a controller freezes", freeze("any", randomDuration(20_000))],
  ["zone isolated with a controller", isolateZone(["any"], randomDuration(40_000))],
  [
    "zones isolated from each other, services reachable",
    isolateZone(["any"], randomDuration(30_000), { allBut: ["state store", "cloud", "users"] }),
  ],
  ["machines hang", hangRandomMachines(3, { from: 0, spread: 20_000 })],
  ["responses and commands to machines held", holdResponses({ upTo: 4 }, randomDuration(25_000))],
  ["heartbeats dropped", dropHeartbeatsOfConsecutiveMachines({ upTo: 4 }, randomDuration(25_000))],
  ["machines lost", loseRandomMachines(3)],
  ["cloud outage", cloudOutage(randomDuration(20_000))],
  [CANCELLATIONS, cancelJobs({ upTo: 8 })],
  ["cancellations, machines hang", cancelJobs({ upTo: 8 }, { hangMs: randomDuration(12_000) })],
  ["requests at completion", requestsAtCompletion(0.6, 25_000)],
  ["invalid requests", sendInvalidRequests(20_000)],
  ["leader freezes for a minute or more", freezeForLong("leader", LONG_FREEZE_MS)],
  ["a controller freezes for a minute or more", freezeForLong("any", LONG_FREEZE_MS)],
  ["query flood", floodWithQueries(8, randomDuration(30_000))],
  ["failing jobs", submitFailingJobs({ upTo: 5 }, randomDuration(30_000))],
  ["faulty machines", makeMachinesFaulty({ upTo: 3 }, randomDuration(30_000))],
  ["slow boots", disruptBoots({ upTo: 5 }, { delayFactor: 4, failureShare: 0 }, randomDuration(40_000))],
  [
    "boots that never end",
    disruptBoots({ upTo: 5 }, { delayFactor: 1, failureShare: 0.6 }, randomDuration(40_000)),
  ],
  ["instant boots", disruptBoots({ upTo: 5 }, { delayFactor: 0.1, failureShare: 0 }, randomDuration(40_000))],
];

/** A fault and the time at which it is injected. */
export interface ScheduledFault {
  /** Time of the injection, in seconds after the start of the workload. */
  atS: number;
  /** Name under which the output for a failed day lists the fault. */
  name: string;
  fault: Fault;
}

/** The parameters of a randomized day that its seed determines. */
export interface RandomizedSchedule {
  options: Required<Pick<WorldOptions, "controllerCount" | "capacity">> & Pick<WorldOptions, "zones">;
  /** Share of POST requests that are delivered twice. */
  duplicateShare: number;
  /** The faults, in order of time. */
  faults: ScheduledFault[];
}

/**
 * Generates a schedule with two to four pairs of overlapping faults, the second up to 6 s after the first. With
 * probability 1/2, cancellations follow 0.2 to 3.2 s after the first fault of a pair.
 */
export function generateSchedule(random: () => number): RandomizedSchedule {
  const controllerCount = random() < 0.5 ? 3 : 5;
  const zones = random() < 0.5 ? undefined : ["a", "a", "b", "a", "b"].slice(0, controllerCount);
  const faults: ScheduledFault[] = [];
  const overlapCount = 2 + Math.floor(random() * 3);
  for (let i = 0; i < overlapCount; i++) {
    const atS = 8 + random() * 45;
    const first = pickFault(random);
    faults.push({ atS, ...first });
    faults.push({ atS: atS + random() * 6, ...pickFault(random) });
    if (random() < 0.5) faults.push({ atS: atS + 0.2 + random() * 3, ...findFault(CANCELLATIONS) });
  }
  faults.sort((left, right) => left.atS - right.atS);
  return {
    options: { controllerCount, ...(zones ? { zones } : {}), capacity: 10 + Math.floor(random() * 8) },
    duplicateShare: random() < 0.5 ? 0.1 : 0,
    faults,
  };
}

function pickFault(random: () => number): Omit<ScheduledFault, "atS"> {
  const [name, fault] = CANDIDATE_FAULTS[Math.floor(random() * CANDIDATE_FAULTS.length)]!;
  return { name, fault };
}

function findFault(wantedName: string): Omit<ScheduledFault, "atS"> {
  const [name, fault] = CANDIDATE_FAULTS.find(([candidate]) => candidate === wantedName)!;
  return { name, fault };
}
