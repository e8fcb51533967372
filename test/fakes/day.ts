import assert from "node:assert/strict";
import { longJob, type Trouble } from "./troubles.js";
import { submitMixedWork } from "./mixedWork.js";
import type { World } from "./world.js";

export interface Day {
  name: string;
  repeat?: number;
  repeatWithinS?: number;
  /** Played with 5 controllers as well. */
  grown?: boolean;
  /** So many jobs are submitted early that run until they are cancelled. */
  long?: number;
  /** Submits what the day is about. */
  work?: Trouble;
  at: [number, Trouble][];
}

/** Whatever fails on it, no rule breaks, and every accepted job comes to its end. */
export async function play(world: World, day: Day): Promise<void> {
  world.net.duplicateShare = day.repeat ?? 0;
  world.net.duplicateWithinMs = (day.repeatWithinS ?? 20) * 1000;
  await world.run(3);
  for (const [atS, trouble] of day.at) world.clock.after(atS * 1000, () => trouble(world));
  const lastS = Math.max(0, ...day.at.map(([s]) => s));
  world.faultFreeFromMs = world.clock.nowMs() + Math.max(60, lastS + 40) * 1000;
  for (let i = 0; i < (day.long ?? 0); i++) longJob(world, i);
  day.work?.(world);
  await submitMixedWork(world, 40);
  // What was to outlive the troubles is called off only now.
  await world.run(Math.max(25, lastS));
  // Some troubles last longer than the others.
  await world.runUntilFaultFree();
  world.users.cancelServices();
  await world.run(85);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.unfinishedJobs(), [], "every accepted job is done or cancelled");
  assert.ok(world.startedTasks > 20, `tasks were started (${world.startedTasks})`);
}
