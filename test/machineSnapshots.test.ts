import assert from "node:assert/strict";
import test from "node:test";
import { Machine } from "../src/bookkeeping/workload.js";
import { isBootOverdue } from "../src/coordination/scheduling/machineSnapshots.js";
import type { MachineType } from "../src/protocol/model.js";

test("a machine far beyond its type's boot time is overdue, unless the cloud lists it as running", () => {
  const machine = new Machine("m1", "a", 1, 0);
  machine.type = { bootS: 40 } as MachineType;
  assert.deepEqual([isBootOverdue(machine, 60_000), isBootOverdue(machine, 80_000)], [false, true]);
  machine.isListedAsRunning = true;
  assert.equal(isBootOverdue(machine, 80_000), false);
});
