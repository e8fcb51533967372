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
export async function play(w: World, day: Day): Promise<void> {
  w.net.repeatShare = day.repeat ?? 0;
  w.net.repeatWithinMs = (day.repeatWithinS ?? 20) * 1000;
  await w.run(3);
  for (const [atS, trouble] of day.at) w.clock.after(atS * 1000, () => trouble(w));
  const lastS = Math.max(0, ...day.at.map(([s]) => s));
  w.calmFromMs = w.clock.nowMs() + Math.max(60, lastS + 40) * 1000;
  for (let i = 0; i < (day.long ?? 0); i++) longJob(w, i);
  day.work?.(w);
  await w.mixedWork(40);
  // What was to outlive the troubles is called off only now.
  await w.run(Math.max(25, lastS));
  // Some troubles last longer than the others.
  await w.run(Math.max(0, w.calmFromMs - w.clock.nowMs()) / 1000);
  for (const job of w.jobs.values()) if (job.runS === null && job.accepted && !job.cancelAsked) w.cancel(job);
  await w.run(85);
  assert.deepEqual(w.broken, []);
  assert.deepEqual(w.unfinished(), [], "every accepted job is done or cancelled");
  assert.ok(w.started > 20, `tasks were started (${w.started})`);
}
