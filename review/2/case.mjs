/**
 * An array of twelve tasks, each of which fills a machine; all end at the same time. With TROUBLE=1, connections between
 * controllers are refused around that time, and two machines that report to followers hang after it, for less than a lease.
 * Then twelve jobs of one task need the same twelve machines, of which the cloud has no more.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../standins/deployment.mjs";
import { BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, runCase } from "../standins/runCase.mjs";
import { submission } from "../standins/users.mjs";

const ZONES = ["caboolture", "redcliffe"];
const MACHINES = 12;
const FIRST_RUN_MS = 8000;
const REFUSED_MS = 9500;
const HANG_AFTER_MS = 1300;
/** A machine may go on at any time within its lease of 14 s. */
const HANG_MS = 12_000;
/** The longest that a job may wait while a machine has room and its team is under its limit, once troubles are over. */
const MAX_WAIT_MS = 90_000;

const WHEELIE = { name: "wheelie", cores: 4, gpus: 0, memoryGb: 32, cacheGb: 70, fetchGbPerS: 0.25 };
const FLAVORS = [{ ...WHEELIE, price: 0.24, lowPrice: 0.06, bootS: 50, patches: ZONES }];
const FIRST = submission("job-000001", { crew: "routing", spores: MACHINES, cores: 4.0, guessS: 8.0 });
const LATER_JOBS = Array.from({ length: MACHINES }, (_unused, index) =>
  submission(`job-0001${String(index).padStart(2, "0")}`, { crew: "routing", cores: 4.0, guessS: 600.0 }),
);

let firstEndsAt = Infinity;

async function play({ recorder, fleet, deployment, users }) {
  firstEndsAt = Date.now() + FIRST_RUN_MS;
  if ((await users.submit(FIRST)).status !== 201) return COULD_NOT_RUN;
  await sleep(firstEndsAt - Date.now() - 300);
  recorder.line(`${fleet.running(FIRST.ref)} tasks run on ${fleet.machines.size} machines`);
  if (fleet.running(FIRST.ref) !== MACHINES) return COULD_NOT_RUN;
  if (HAS_TROUBLE) {
    if (!(await disturb({ recorder, fleet, deployment }))) return COULD_NOT_RUN;
  } else await sleep(HANG_AFTER_MS + HANG_MS + 500);
  recorder.line(`troubles are over; ${fleet.completed.size} tasks of ${FIRST.ref} have completed`);
  if (fleet.completed.size !== MACHINES) return COULD_NOT_RUN;
  return await observe({ recorder, fleet, users });
}

/** Returns false if fewer than two machines report to followers. */
async function disturb({ recorder, fleet, deployment }) {
  const leader = deployment.leader();
  const atFollowers = [...fleet.machines.values()].filter(
    ({ worker }) => deployment.nodes[worker.controller] !== leader,
  );
  if (atFollowers.length < 2) return false;
  deployment.links.refuseAll();
  recorder.line(`connections between controllers are refused; ${leader.name} leads`);
  await sleep(HANG_AFTER_MS);
  const hung = atFollowers.slice(0, 2);
  for (const { worker } of hung) worker.hang(HANG_MS);
  recorder.line(`${hung.map(({ ref }) => ref).join(" and ")} hang for ${HANG_MS / 1000} s`);
  await sleep(REFUSED_MS - HANG_AFTER_MS);
  await deployment.links.acceptAll();
  recorder.line("connections between controllers are accepted again");
  await sleep(HANG_AFTER_MS + HANG_MS - REFUSED_MS + 500);
  recorder.line(`${hung.map(({ ref }) => ref).join(" and ")} go on; their leases have not run out`);
  return true;
}

async function observe({ recorder, fleet, users }) {
  const acceptedAt = new Map();
  for (const job of LATER_JOBS) {
    if ((await users.submit(job)).status !== 201) return COULD_NOT_RUN;
    acceptedAt.set(job.ref, Date.now());
  }
  const waiting = () => LATER_JOBS.filter(({ ref }) => fleet.running(ref) === 0);
  const endAt = Date.now() + MAX_WAIT_MS;
  let leastRoom = Infinity;
  while (Date.now() < endAt && waiting().length > 0) {
    await sleep(5000);
    for (const { ref } of [FIRST, ...waiting()]) await users.ask(ref);
    if (waiting().length > 0) leastRoom = Math.min(leastRoom, fleet.machinesWithAtMost(0));
  }
  const first = (await users.ask(FIRST.ref)).body;
  recorder.line(`all tasks of ${FIRST.ref} have completed; its user is told ${JSON.stringify(first)}`);
  const late = waiting().filter(({ ref }) => Date.now() - acceptedAt.get(ref) >= MAX_WAIT_MS);
  recorder.line(
    `waiting for 90 s: ${late.map(({ ref }) => ref).join(" ") || "none"}; free machines at each look: ${leastRoom}`,
  );
  if (late.length === 0) return HELD;
  return leastRoom > 0 ? BROKEN : COULD_NOT_RUN;
}

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  zones: ["caboolture", "caboolture", "caboolture"],
  clusterZones: ZONES,
  hasLinkProxies: true,
  fleet: {
    flavors: FLAVORS,
    capacity: (_breed, patch) => (patch === ZONES[0] ? MACHINES : 0),
    bootMs: () => 1000,
    runMs: (spore) => (spore.startsWith(FIRST.ref) ? Math.max(0, firstEndsAt - Date.now()) : 600_000),
  },
  play,
});
