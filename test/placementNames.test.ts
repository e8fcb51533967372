/** Zones and machine types whose names contain characters that a joined text could take for its separators. */
import assert from "node:assert/strict";
import test from "node:test";
import { place } from "../src/coordination/scheduling/placement.js";
import { emptyMachineView, type MachineView, type VictimView } from "../src/coordination/scheduling/views.js";
import type { JobSpec } from "../src/protocol/model.js";
import { cycleInput, waitingJob } from "./fakes/placementInput.js";

function machineOf(name: string, zone: string): MachineView {
  const resources = { cpus: 4, gpus: 0, memoryGb: 16 };
  const offer = { cacheGb: 50, fetchGbPerS: 1, price: 1, spotPrice: 1, bootS: 9, zones: [zone] };
  const view = emptyMachineView({ name, ...resources, ...offer }, zone, false, null);
  view.name = "host-1";
  return view;
}

/** Guards against skipping a job because another one, whose types only look the same when joined, fits nowhere. */
test("a job whose types differ from those of a job that fits nowhere is placed", () => {
  const jobs = [["x,y"], ["x", "y"]].map((types, index) => waitingJob(index, { types, tasks: 1 }));
  const { placements } = place(cycleInput(jobs, [machineOf("y", "a")]));
  assert.deepEqual(
    placements.map(({ jobId }) => jobId),
    ["job-1"],
  );
});

/** Guards against skipping the search for victims for a job, because there are none for another one. */
test("a job preempts although none of the victims helps a job whose properties look the same when joined", () => {
  const specs: Partial<JobSpec>[] = [
    { zone: "x", spot: true, types: ["false y"] },
    { zone: "x true", spot: false, types: ["y"] },
  ];
  const jobs = specs.map((spec, index) => waitingJob(index, { ...spec, tasks: 1 }));
  const machine = machineOf("y", "x true");
  const used = { cpus: 4, gpus: 0, memoryGb: 16 };
  const { team } = jobs[0]!.spec;
  const victim: VictimView = { ref: 0, jobId: "job-9", team, priority: 0, ...used, lossS: () => 1 };
  machine.free = { cpus: 0, gpus: 0, memoryGb: 0 };
  machine.victims = () => [victim];
  const plan = place({ ...cycleInput(jobs, [machine]), canPreemptFor: () => true });
  assert.equal(plan.evictions.length, 1);
});
