/** Case 4: the record of 256 tasks outgrows the state service's limit on values, and no write succeeds any more. */
import path from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Region, sleep, submission } from "../standins-2/region.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";

/** kit/next/mrws-collect-sched-grown.toml: five controllers, values up to 8 KiB. */
const SETTINGS = {
  nodes: 5,
  teams: [
    { name: "calendars", cpus: 600, cpusMax: 1800, gpus: 25, gpusMax: 100 },
    { name: "routing", cpus: 800, cpusMax: 3000, gpus: 35, gpusMax: 150 },
  ],
};
/** The same file's capacity: ordinary and spot machines by type and zone. */
const CAPACITY = {
  wheelie: { caboolture: [56, 44], redcliffe: [60, 52] },
  kerbside: { caboolture: [50, 12], redcliffe: [59, 14] },
  compactor: { caboolture: [12, 10] },
};
/** "one huge array"; "arrays of around 40, up to 250 tasks". Without the trouble, one of 40 tasks. */
const ARRAY_TASKS = IS_TROUBLE ? 250 : 40;
/** "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit" */
const WAIT_S = 90;
const SERVICE = { cores: 2, gpus: 0, memoryGb: 7.2 };

const region = new Region(FOLDER, {
  settings: SETTINGS,
  capacity: (breed, patch, windfall) => CAPACITY[breed][patch]?.[windfall ? 1 : 0] ?? 0,
});

let arrayStarts = 0;
let isServiceOn = false;
region.onStart = (worker, task) => {
  if (task.spore.startsWith("job-000002/")) arrayStarts++;
  else region.write(`${task.spore} (${task.sprout}) on ${worker.machine.ref}`);
  if (task.spore.startsWith("job-000003/")) isServiceOn = true;
};
region.onEnd = () => undefined;

function hasRoom() {
  return [...region.workers.values()].some((worker) => worker.hasRoomFor(SERVICE));
}

/** Waits for the service to start; true if it waited for 90 s while a machine had room all the time. */
async function serviceIsLeftWaiting(node) {
  let since = region.seconds();
  for (let round = 0; !isServiceOn; round++) {
    if (!hasRoom()) since = region.seconds();
    const waitedS = region.seconds() - since;
    if (round % 50 === 0) {
      const answer = await region.show(node, "job-000003");
      region.write(
        `job-000003: ${JSON.stringify(answer.body)}, waits ${waitedS.toFixed(0)} s beside a machine with room; ` +
          `${arrayStarts} of ${ARRAY_TASKS} tasks of job-000002 were started, ${region.workers.size} machines are up`,
      );
    }
    if (waitedS >= WAIT_S) return true;
    if (region.seconds() > 114) return null;
    await sleep(100);
  }
  return false;
}

async function play() {
  await region.start();
  if (!(await region.untilReady())) return 2;
  const [first, second] = region.controllers;
  const service = { form: "standing", rank: "prod", crew: "routing", strain: "bin-lookup", ...SERVICE };
  if (!(await region.submit(first, submission({ ref: "job-000001", ...service }), { seconds: 5 }))) return 2;
  const array = { crew: "calendars", cores: 2.8, memoryGb: 10, breeds: ["wheelie"], windfall: true };
  const body = submission({ ref: "job-000002", strain: "shire-reweigh", spores: ARRAY_TASKS, ...array });
  if (!(await region.submit(second, body, { seconds: 5 }))) return 2;
  await sleep(7000);
  if (!(await region.submit(first, submission({ ref: "job-000003", ...service }), { seconds: 5 }))) return 2;
  const isLeft = await serviceIsLeftWaiting(second);
  if (isLeft === null) return 2;
  region.write(isLeft ? "BROKEN: job-000003 was left waiting" : "HELD: job-000003 was started");
  return isLeft ? 1 : 0;
}

const code = await play().catch((error) => {
  region.write(`could not run: ${error.stack}`);
  return 2;
});
await region.stop();
process.exit(code);
