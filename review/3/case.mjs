/**
 * Fifteen arrays of four long tasks, of which at most two may be in one zone. One zone has no capacity, so two tasks of each
 * run in the other zone, whose name contains a space, and two wait. With TROUBLE=1 the leader then crashes.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../standins/deployment.mjs";
import { BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, runCase } from "../standins/runCase.mjs";
import { submission } from "../standins/users.mjs";

const FULL_ZONE = "redcliffe";
const OPEN_ZONE = "deception bay";
const JOBS = 15;
const TASKS = 4;
const MAX_IN_ZONE = Math.ceil(TASKS / 2);
/** Longer than a lease, so that all machines have reported to the new leader. */
const OBSERVED_MS = 25_000;

const WHEELIE = { name: "wheelie", cores: 4, gpus: 0, memoryGb: 32, cacheGb: 70, fetchGbPerS: 0.25 };
const FLAVORS = [{ ...WHEELIE, price: 0.24, lowPrice: 0.06, bootS: 50, patches: [FULL_ZONE, OPEN_ZONE] }];

function spreadJob(index) {
  const ref = `job-0000${String(index).padStart(2, "0")}`;
  return submission(ref, { crew: "routing", spores: TASKS, cores: 2.0, scatter: true, guessS: 600.0 });
}

/** Counts the job's tasks in the zone when one of them starts there; the rule allows `MAX_IN_ZONE`. */
function observeStarts(fleet, recorder, broken) {
  const { taskArrived } = fleet;
  fleet.taskArrived = (spore, ref) => {
    taskArrived.call(fleet, spore, ref);
    const [job] = spore.split("/");
    const { patch } = fleet.machines.get(ref);
    let inZone = 0;
    for (const [other, machines] of fleet.tasksOn)
      if (other.startsWith(`${job}/`))
        for (const machine of machines) if (fleet.machines.get(machine)?.patch === patch) inZone++;
    recorder.line(`${spore} starts on ${ref} in ${patch}: ${inZone} of ${TASKS} tasks are in that zone`);
    if (inZone > MAX_IN_ZONE) broken.push(spore);
  };
}

async function play({ recorder, fleet, deployment, users }) {
  const broken = [];
  observeStarts(fleet, recorder, broken);
  for (let index = 1; index <= JOBS; index++)
    if ((await users.submit(spreadJob(index))).status !== 201) return COULD_NOT_RUN;
  await sleep(12_000);
  const expected = JOBS * MAX_IN_ZONE;
  const running = fleet.starts.length;
  recorder.line(`${running} tasks run, ${expected} are expected; ${fleet.machines.size} machines`);
  if (running !== expected || broken.length > 0) return COULD_NOT_RUN;
  const leader = deployment.leader();
  const served = [...fleet.machines.values()].filter(
    ({ worker }) => deployment.nodes[worker?.controller] === leader && worker.tasks.size > 0,
  );
  recorder.line(`${served.length} machines with tasks report to the leader, ${leader.name}`);
  if (HAS_TROUBLE) deployment.kill(leader);
  await sleep(OBSERVED_MS);
  recorder.line(
    `${broken.length} tasks started in a zone that their jobs did not allow: ${broken.join(" ")}`,
  );
  return broken.length > 0 ? BROKEN : HELD;
}

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  zones: [OPEN_ZONE, OPEN_ZONE, OPEN_ZONE],
  clusterZones: [FULL_ZONE, OPEN_ZONE],
  fleet: {
    flavors: FLAVORS,
    capacity: (_breed, patch) => (patch === FULL_ZONE ? 0 : 32),
    bootMs: () => 800,
    runMs: () => 600_000,
  },
  play,
});
