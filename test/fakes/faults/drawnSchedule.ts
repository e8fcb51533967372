/**
 * Days drawn from a seed: a world's size and a schedule of faults. A seed keeps its meaning only as long as the faults
 * keep their order here and draw the same random numbers in the same order.
 */
import type { WorldOptions } from "../world.js";
import type { Amount } from "./amounts.js";
import { crash, crashTogether, freeze, freezeForLong, refuseConnections } from "./controllerFaults.js";
import { inSequence, later, repeatedly, type Fault } from "./fault.js";
import {
  disturbBoots,
  hangAnyMachines,
  ignoreAnyHeartbeats,
  loseAnyMachines,
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

/** Drawn evenly from 1.5 s on, over a range of that size. */
function upTo(spread: number): Amount {
  return { from: 1500, spread };
}

const CANCELLATIONS = "cancellations";
const MINUTES: Amount = { from: 60_000, spread: 60_000 };

/** The faults that days are drawn from, by the name that a failed day is printed with. */
const DRAWN_FAULTS: [name: string, fault: Fault][] = [
  ["leader crashes, back at once", crash("leader", { from: 40, spread: 200 })],
  ["leader crashes, back in seconds", crash("leader", upTo(4000))],
  ["a controller crashes", crash("any", { from: 50, spread: 4000 })],
  ["all crash", crash("all", { from: 60, spread: 3000 })],
  ["all away for longer than a lease", crashTogether("all", { from: 8500, spread: 3000 })],
  ["ten leaders in a row", repeatedly(10, 3500, crash("leader", { from: 40, spread: 3000 }))],
  ["state store outage", stateStoreOutage(upTo(36_000))],
  ["leader refused by the state store", refuseAtStateStore("leader", upTo(20_000))],
  ["a controller refused by the state store", refuseAtStateStore("any", upTo(20_000))],
  [
    "leader refused by the state store, then everybody",
    inSequence(
      refuseAtStateStore("leader", 20_000),
      later({ from: 200, spread: 3500 }, stateStoreOutage(upTo(36_000))),
    ),
  ],
  ["delayed transactions", delayTransactions({ from: 0.1, spread: 0.4 }, upTo(20_000))],
  [
    "leader isolated from the state store",
    isolateController("leader", { only: ["state store"] }, upTo(20_000)),
  ],
  ["leader isolated from workers", isolateController("leader", { only: ["workers"] }, upTo(25_000))],
  ["a controller isolated from workers", isolateController("any", { only: ["workers"] }, upTo(25_000))],
  [
    "leader isolated from other controllers",
    isolateController("leader", { only: ["controllers"] }, upTo(20_000)),
  ],
  ["leader isolated with its workers", isolateFromControlPlane("leader", upTo(30_000))],
  ["a controller isolated with its workers", isolateFromControlPlane("any", upTo(30_000))],
  ["connections to the leader refused", refuseConnections("leader")],
  ["leader freezes", freeze("leader", upTo(20_000))],
  ["a controller freezes", freeze("any", upTo(20_000))],
  ["zone isolated with a controller", isolateZone(["any"], upTo(40_000))],
  [
    "zones isolated from each other, services reached",
    isolateZone(["any"], upTo(30_000), { allBut: ["state store", "cloud", "users"] }),
  ],
  ["machines hang", hangAnyMachines(3, { from: 0, spread: 20_000 })],
  ["responses to machines held", holdResponses({ upTo: 4 }, upTo(25_000))],
  ["heartbeats ignored", ignoreAnyHeartbeats({ upTo: 4 }, upTo(25_000))],
  ["machines lost", loseAnyMachines(3)],
  ["cloud outage", cloudOutage(upTo(20_000))],
  [CANCELLATIONS, cancelJobs({ upTo: 8 })],
  ["cancellations, machines hang", cancelJobs({ upTo: 8 }, { hangMs: upTo(12_000) })],
  ["requests at completion", requestsAtCompletion(0.6, 25_000)],
  ["invalid requests", sendInvalidRequests(20_000)],
  ["leader freezes for a minute or more", freezeForLong("leader", MINUTES)],
  ["a controller freezes for a minute or more", freezeForLong("any", MINUTES)],
  ["query flood", floodWithQueries(8, upTo(30_000))],
  ["failing jobs", submitFailingJobs({ upTo: 5 }, upTo(30_000))],
  ["faulty machines", makeMachinesFaulty({ upTo: 3 }, upTo(30_000))],
  ["late boots", disturbBoots({ upTo: 5 }, { delayFactor: 4, failureShare: 0 }, upTo(40_000))],
  ["boots that never end", disturbBoots({ upTo: 5 }, { delayFactor: 1, failureShare: 0.6 }, upTo(40_000))],
  ["instant boots", disturbBoots({ upTo: 5 }, { delayFactor: 0.1, failureShare: 0 }, upTo(40_000))],
];

/** A fault, the name it is printed with, and its time on the day. */
export interface ScheduledFault {
  atS: number;
  name: string;
  fault: Fault;
}

/** What a seed stands for: a world, and some of the faults at their times. */
export interface DrawnSchedule {
  options: Required<Pick<WorldOptions, "controllerCount" | "capacity">> & Pick<WorldOptions, "zones">;
  /** Share of requests that arrive twice. */
  duplicateShare: number;
  faults: ScheduledFault[];
}

/** Two to four meetings of two faults each, the second within a few seconds of the first. */
export function drawSchedule(random: () => number): DrawnSchedule {
  const controllerCount = random() < 0.5 ? 3 : 5;
  const zones = random() < 0.5 ? undefined : ["a", "a", "b", "a", "b"].slice(0, controllerCount);
  const faults: ScheduledFault[] = [];
  const meetings = 2 + Math.floor(random() * 3);
  for (let i = 0; i < meetings; i++) {
    const atS = 8 + random() * 45;
    const first = drawFault(random);
    faults.push({ atS, ...first });
    faults.push({ atS: atS + random() * 6, ...drawFault(random) });
    if (random() < 0.5) faults.push({ atS: atS + 0.2 + random() * 3, ...faultNamed(CANCELLATIONS) });
  }
  faults.sort((left, right) => left.atS - right.atS);
  return {
    options: { controllerCount, ...(zones ? { zones } : {}), capacity: 10 + Math.floor(random() * 8) },
    duplicateShare: random() < 0.5 ? 0.1 : 0,
    faults,
  };
}

function drawFault(random: () => number): Omit<ScheduledFault, "atS"> {
  const [name, fault] = DRAWN_FAULTS[Math.floor(random() * DRAWN_FAULTS.length)]!;
  return { name, fault };
}

function faultNamed(wanted: string): Omit<ScheduledFault, "atS"> {
  const [name, fault] = DRAWN_FAULTS.find(([candidate]) => candidate === wanted)!;
  return { name, fault };
}
