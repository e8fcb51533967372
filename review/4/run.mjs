/** Case 4: tasks of a zone that is cut off are started elsewhere while they still run, since its name has a space. */
import path from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Proxy } from "../standins-2/proxy.mjs";
import { breed, Region, sleep, submission } from "../standins-2/region.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const IS_TROUBLE = process.env.TROUBLE !== "0";

const NEAR = "buda";
const FAR = process.env.FAR_ZONE ?? "pest kelet";
const ZONES = [NEAR, FAR];

/** kit/more/hunt/fkz-azonnali-hunt.toml */
const SETTINGS = {
  ...{ nodes: 5, nodeZones: ZONES, zones: ZONES, reportS: 2.5, leaseS: 12, cancelS: 37 },
  ...{ rps: 250, writeRps: 25, valueKb: 32, txnOps: 20, cloudRps: 4, listLagS: 10, clockMs: 25 },
  teams: [{ name: "fizetes-uzem-1", cpus: 900, cpusMax: 10000, gpus: 100, gpusMax: 500 }],
};
const BREEDS = {
  kisgep: breed({ cores: 4, memoryGb: 16, price: 0.23, lowPrice: 0.06, bootS: 30, patches: ZONES }),
};
/** "zone_cut": for 37 s in the site file. */
const CUT_S = 37;
/** "back about 5 s after an end" */
const BACK_S = 5;
const SERVICES = 8;

/** At first an array fills most of the near zone, so that the services go to the far one. */
const CAPACITY = { [NEAR]: 8, [FAR]: 10 };
const ARRAY_TASKS = 6;
const ARRAY_MS = 20_000;
const region = new Region(FOLDER, {
  settings: SETTINGS,
  breeds: BREEDS,
  capacity: (_name, zone) => CAPACITY[zone],
});

const machines = new Map();
let broken = 0;
region.onStart = (worker, task) => {
  const { ref, patch } = worker.machine;
  region.write(`${task.spore} (${task.sprout}) on ${ref} in ${patch}`);
  const others = machines.get(task.spore) ?? new Set();
  for (const other of others) {
    broken++;
    region.write(`BROKEN: ${task.spore} starts on ${ref} while it is on ${other}`);
  }
  machines.set(task.spore, others.add(ref));
};
region.onEnd = (worker, task, cause) => {
  region.write(`${task.spore} (${task.sprout}) off ${worker.machine.ref}: ${cause}`);
  machines.get(task.spore).delete(worker.machine.ref);
};

const proxies = [];
region.beforeLaunch = async () => {
  for (const node of region.controllers) {
    for (const other of region.controllers) {
      if (other.zone === node.zone) continue;
      const proxy = new Proxy(other.peerPort);
      node.peerPorts[other.name] = await proxy.start();
      proxies.push(proxy);
    }
  }
};

function inZone(zone) {
  return region.controllers.filter((node) => node.zone === zone);
}

/** Cuts the far zone off from everything, as a zone without network is, or ends that. */
function setCut(isCut) {
  region.write(isCut ? `${FAR} is cut off` : `${FAR} is connected again`);
  for (const proxy of proxies) if (isCut) proxy.hold();
  for (const service of [region.state, region.cloud])
    service.silentTo = new Set(isCut ? inZone(FAR).map(({ name }) => name) : []);
  for (const worker of region.workers.values()) worker.reaches = isCut ? inZone(worker.machine.patch) : null;
  if (!isCut) for (const proxy of proxies) proxy.release();
}

/** Makes sure that a controller of the near zone leads: else those of the far zone are restarted. */
async function untilNearLeader() {
  const isNear = () => region.leader?.zone === NEAR;
  if (isNear()) return true;
  for (const node of inZone(FAR)) region.signal(node, "SIGKILL");
  await region.until(isNear, 10);
  await sleep(BACK_S * 1000);
  for (const node of inZone(FAR)) region.launch(node);
  await sleep(3000);
  return isNear();
}

async function play() {
  await region.start();
  if (!(await region.untilReady()) || !(await untilNearLeader())) return 2;
  const [first] = inZone(NEAR);
  const task = { crew: "fizetes-uzem-1", cores: 4, memoryGb: 8 };
  const array = submission({ ref: "job-000009", spores: ARRAY_TASKS, patch: NEAR, rank: "prod", ...task });
  await region.submit(first, array, { runMs: ARRAY_MS, seconds: 5 });
  if (!(await region.until(() => machines.size === ARRAY_TASKS, 30))) return 2;
  for (let i = 1; i <= SERVICES; i++) {
    const service = submission({ ref: `job-00000${i}`, form: "standing", rank: "prod", ...task });
    await region.submit(first, service, { seconds: 5 });
  }
  if (!(await region.until(() => machines.size === ARRAY_TASKS + SERVICES, 30))) return 2;
  await sleep(8000);
  if (!IS_TROUBLE) {
    await sleep(CUT_S * 1000);
    return broken > 0 ? 1 : 0;
  }
  const { leader } = region;
  setCut(true);
  await sleep(500);
  region.signal(leader, "SIGKILL");
  await sleep(BACK_S * 1000);
  region.launch(leader);
  await sleep((CUT_S - BACK_S) * 1000 - 500);
  setCut(false);
  await sleep(3000);
  return broken > 0 ? 1 : 0;
}

const code = await play().catch((error) => {
  region.write(`could not run: ${error.stack}`);
  return 2;
});
region.write(`${broken} starts while the task was on another machine; exit code ${code}`);
await region.stop();
for (const proxy of proxies) proxy.stop();
process.exit(code);
