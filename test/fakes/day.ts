import assert from "node:assert/strict";
import { longJob, type Trouble } from "./troubles.js";
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
  world.net.repeatShare = day.repeat ?? 0;
  world.net.repeatWithinMs = (day.repeatWithinS ?? 20) * 1000;
  await world.run(3);
  for (const [atS, trouble] of day.at) world.clock.after(atS * 1000, () => trouble(world));
  const lastS = Math.max(0, ...day.at.map(([s]) => s));
  world.calmFromMs = world.clock.nowMs() + Math.max(60, lastS + 40) * 1000;
  for (let i = 0; i < (day.long ?? 0); i++) longJob(world, i);
  day.work?.(world);
  await world.mixedWork(40);
  // What was to outlive the troubles is called off only now.
  await world.run(Math.max(25, lastS));
  // Some troubles last longer than the others.
  await world.runUntilCalm();
  world.cancelEndless();
  await world.run(85);
  assert.deepEqual(world.broken, []);
  assert.deepEqual(world.unfinished(), [], "every accepted job is done or cancelled");
  assert.ok(world.started > 20, `tasks were started (${world.started})`);
}
