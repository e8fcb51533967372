/** The cost of a scheduling cycle in machines examined, and the backfilling of capacity that is reserved for a gang. */
import assert from "node:assert/strict";
import test from "node:test";
import { place } from "../src/coordination/scheduling/placement.js";
import { emptyMachineView, type JobView, type MachineView } from "../src/coordination/scheduling/views.js";
import type { MachineType } from "../src/protocol/model.js";
import { cycleInput, waitingJob } from "./fakes/placementInput.js";

const MACHINE_TYPE: MachineType = {
  name: "m",
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  cacheGb: 50,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.3,
  bootS: 30,
  zones: ["a", "b"],
};

function waitingJobs(count: number): JobView[] {
  return Array.from({ length: count }, (_, index) => waitingJob(index));
}

/** Creates machines that alternate between zones b and a. A machine for which `isFull` returns true has nothing free. */
function machines(count: number, isFull: (index: number) => boolean): MachineView[] {
  return Array.from({ length: count }, (_, index) => {
    const view = emptyMachineView(MACHINE_TYPE, index % 2 ? "a" : "b", false, null);
    view.name = `host-${index}`;
    if (isFull(index)) view.free = { cpus: 0, gpus: 0, memoryGb: 0 };
    return view;
  });
}

test("a cycle over hundreds of full machines examines only those with free capacity for each job", () => {
  const isFull = (index: number): boolean => index % 100 !== 0;
  const plan = place(cycleInput(waitingJobs(120), machines(600, isFull)));
  const placedTasks = plan.placements.reduce((sum, placement) => sum + placement.tasks, 0);
  assert.equal(placedTasks, 6 * 8, "all free capacity is used");
  // One pass lists the machines with free capacity, and then each job examines a few until nothing is left.
  assert.ok(plan.machinesExamined < 600 + 120 * 6 + 1, `${plan.machinesExamined} machines examined`);
});

test("a cycle over hundreds of idle machines examines each one only a few times", () => {
  const idle = machines(600, () => false);
  const plan = place(cycleInput([waitingJob(1), waitingJob(2)], idle));
  assert.ok(plan.machinesExamined <= 3 * 600, `${plan.machinesExamined} machines examined`);
});

test("a cycle searches for victims once for jobs of equal shape, not once for each job, if no eviction helps", () => {
  const jobs = waitingJobs(200).map((job): JobView => ({ ...job, isGuaranteed: true }));
  const full = machines(1000, () => true);
  const plan = place({ ...cycleInput(jobs, full), canPreemptFor: () => true });
  assert.deepEqual([plan.placements.length, plan.evictions.length], [0, 0]);
  assert.ok(
    plan.machinesExamined <= 2 * 1000,
    `${plan.machinesExamined} of 1,000 machines examined for ${jobs.length} jobs`,
  );
});

test("capacity reserved for a gang is backfilled only with tasks that end before the gang starts", () => {
  const gang = waitingJob(9, { kind: "gang", tasks: 3, cpus: 16, memoryGb: 10, oneZone: true });
  gang.isStarving = true;
  const sixMachinesFourFree = (): MachineView[] => machines(6, (index) => index > 3);
  const { placements, reservations } = place(cycleInput([gang], sixMachinesFourFree()));
  assert.equal(placements.length, 0, "a gang of three does not fit on the two free machines of a zone");
  assert.equal(reservations.length, 2);
  const reservedZone = reservations[0]!.machine === "host-0" ? "b" : "a";
  const nextReservations = reservations.map((reservation) => ({ ...reservation, etaS: 60 }));
  const cases: { name: string; taskS: number; isBackfilled: boolean }[] = [
    { name: "short", taskS: 5, isBackfilled: true },
    { name: "long", taskS: 500, isBackfilled: false },
  ];
  for (const { name, taskS, isBackfilled } of cases) {
    const other = waitingJob(1, { tasks: 1, cpus: 16, memoryGb: 10, zone: reservedZone });
    other.expectedTaskRunTimeS = taskS;
    const plan = place(cycleInput([other, gang], sixMachinesFourFree(), nextReservations));
    const isPlaced = plan.placements.some((placement) => placement.jobId === other.spec.id);
    assert.equal(isPlaced, isBackfilled, name);
  }
});
