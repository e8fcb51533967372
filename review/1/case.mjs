/**
 * A job of 240 tasks and then a small job of another team. With TROUBLE=0 the cloud has large machines; otherwise it
 * answers rentals of them with "no capacity" until the small job is submitted, so that the tasks need a machine each.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../standins/deployment.mjs";
import { BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, runCase } from "../standins/runCase.mjs";
import { FLEET_SETTINGS } from "../standins/settings.mjs";
import { submission } from "../standins/users.mjs";

const ZONES = ["caboolture", "redcliffe"];
const TASKS = 240;
/** The longest that a job may wait while a machine has room and its team is under its limit, once troubles are over. */
const MAX_WAIT_MS = 90_000;

const WHEELIE = { name: "wheelie", cores: 4, gpus: 0, memoryGb: 32, cacheGb: 70, fetchGbPerS: 0.25 };
const COMPACTOR = { name: "compactor", cores: 64, gpus: 0, memoryGb: 512, cacheGb: 30, fetchGbPerS: 0.2 };
const FLAVORS = [
  { ...WHEELIE, price: 0.24, lowPrice: 0.06, bootS: 50, patches: ZONES },
  { ...COMPACTOR, price: 4.15, lowPrice: 1.07, bootS: 35, patches: ZONES },
];
/** One such task fits on a wheelie and 25 on a compactor. All of them are far within the team's limit. */
const LARGE_JOB = submission("job-000001", {
  strain: "route-model",
  crew: "fleet-data",
  spores: TASKS,
  cores: 1.0,
  memoryGb: 20.0,
  guessS: 600.0,
});
/** Fits beside the tasks of the large job: 3 CPUs and 12 GB of each wheelie are free. */
const SMALL_JOB = submission("job-000002", { strain: "street-rebuild", spores: 2, guessS: 20.0 });

/** The ordinary machines of the site, and half as many again. */
const CAPACITY = { "wheelie caboolture": 126, "wheelie redcliffe": 135, "compactor caboolture": 27 };

/** Whether the cloud has no capacity for large machines at present. */
let isShort = HAS_TROUBLE;

async function play({ recorder, state, fleet, users }) {
  if ((await users.submit(LARGE_JOB)).status !== 201) return COULD_NOT_RUN;
  await sleep(14_000);
  const started = fleet.running(LARGE_JOB.ref);
  recorder.line(`${started} tasks of ${LARGE_JOB.ref} run on ${fleet.machines.size} machines`);
  if (started < 20) return COULD_NOT_RUN;
  isShort = false;
  recorder.line("the cloud has capacity of all types");
  if ((await users.submit(SMALL_JOB)).status !== 201) return COULD_NOT_RUN;
  const submittedAt = Date.now();
  let leastRoom = Infinity;
  while (Date.now() - submittedAt < MAX_WAIT_MS && fleet.running(SMALL_JOB.ref) === 0) {
    await sleep(2000);
    await users.ask(SMALL_JOB.ref);
    leastRoom = Math.min(leastRoom, fleet.machinesWithAtMost(1));
    const tasks = `${fleet.running(LARGE_JOB.ref)} and ${fleet.running(SMALL_JOB.ref)} tasks run`;
    const stored = `${JSON.stringify(state.counts)}, largest value ${state.largestValue} bytes`;
    recorder.sampled("seen", `${tasks} on ${fleet.machines.size} machines; state service: ${stored}`);
  }
  const waitedS = ((Date.now() - submittedAt) / 1000).toFixed(1);
  const hasStarted = fleet.running(SMALL_JOB.ref) > 0;
  recorder.line(
    `${SMALL_JOB.ref} ${hasStarted ? "started within" : "was accepted and has not started in"} ${waitedS} s`,
  );
  recorder.line(`at each look, at least ${leastRoom} machines had room for a task of ${SMALL_JOB.ref}`);
  if (hasStarted) return HELD;
  return leastRoom > 0 ? BROKEN : COULD_NOT_RUN;
}

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  zones: Array(5).fill("caboolture"),
  clusterZones: ZONES,
  settings: FLEET_SETTINGS,
  fleet: {
    flavors: FLAVORS,
    capacity: (breed, patch, windfall) =>
      windfall || (isShort && breed === "compactor") ? 0 : (CAPACITY[`${breed} ${patch}`] ?? 0),
    bootMs: () => 1500,
    runMs: (spore) => (spore.startsWith(`${LARGE_JOB.ref}/`) ? 600_000 : 20_000),
  },
  play,
});
