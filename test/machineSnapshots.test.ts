import assert from "node:assert/strict";
import test from "node:test";
import { Machine } from "../src/bookkeeping/workload.js";
import { isOverdueToBoot } from "../src/coordination/scheduling/machineSnapshots.js";
import type { MachineType } from "../src/protocol/model.js";

test("a boot long past its type's time is counted on no more; that of a machine that was up before is", () => {
  const machine = new Machine("m1", "a", 1, 0);
  machine.type = { bootS: 40 } as MachineType;
  assert.deepEqual([isOverdueToBoot(machine, 60_000), isOverdueToBoot(machine, 80_000)], [false, true]);
  machine.isListedAsRunning = true;
  assert.equal(isOverdueToBoot(machine, 80_000), false);
});
