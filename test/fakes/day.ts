/** Whole days with faults at given times, as scenario tests describe them. */
import assert from "node:assert/strict";
import test from "node:test";
import { inject, type Fault } from "./faults/fault.js";
import { submitLongJobs } from "./longJobs.js";
import { submitMixedWork } from "./mixedWork.js";
import { World } from "./world.js";

/** A fault at a time, or what no fault describes. */
export type Step = [atS: number, step: Fault | ((world: World) => void)];

/** A day's work and faults. */
export interface Day {
  name: string;
  /** The world's seed; it stays with the day, wherever the day stands. */
  seed: number;
  /** Share of requests that arrive twice; 0 unless given. */
  duplicateShare?: number;
  /** Latest time of a duplicate after its original; 20 s unless given. */
  duplicateWithinS?: number;
  /** Played with 5 controllers as well as with 3. */
  alsoWithFive?: boolean;
  /** So many jobs are submitted early that run until they are cancelled. */
  longJobs?: number;
  /** Submits what the day is about, beside its mixed work. */
  submitWork?: (world: World) => void;
  steps: Step[];
}

/** The fault at `fromS` and again each `everyS`; each time it chooses its targets anew. */
export function often(fromS: number, everyS: number, times: number, fault: Fault): Step[] {
  return Array.from({ length: times }, (_, index) => [fromS + index * everyS, fault]);
}

/** Registers a test for each day, and one more with 5 controllers, on another seed, for days that ask for it. */
export function testDays(prefix: string, days: Day[], seedOffsetOfFive: number): void {
  for (const day of days) {
    test(`${prefix}: ${day.name}`, () => playDay(new World(day.seed), day));
    if (!day.alsoWithFive) continue;
    test(`${prefix} with 5 controllers: ${day.name}`, () =>
      playDay(new World(day.seed + seedOffsetOfFive, { controllerCount: 5 }), day));
  }
}

/** Whatever fails on it, no rule breaks, and every accepted job comes to its end. */
async function playDay(world: World, day: Day): Promise<void> {
  world.net.duplicateShare = day.duplicateShare ?? 0;
  world.net.duplicateWithinMs = (day.duplicateWithinS ?? 20) * 1000;
  await world.run(3);
  for (const [atS, step] of day.steps) {
    world.clock.after(atS * 1000, () => (typeof step === "function" ? step(world) : inject(world, step)));
  }
  const lastStepS = Math.max(0, ...day.steps.map(([atS]) => atS));
  world.faultFreeFromMs = world.clock.nowMs() + Math.max(60, lastStepS + 40) * 1000;
  submitLongJobs(world, day.longJobs ?? 0);
  day.submitWork?.(world);
  await submitMixedWork(world, 40);
  // What was to outlive the faults is cancelled only now.
  await world.run(Math.max(25, lastStepS));
  // Some faults last longer than the others.
  await world.runUntilFaultFree();
  world.users.cancelServices();
  await world.run(85);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.unfinishedJobs(), [], "every accepted job is done or cancelled");
  assert.ok(world.startedTasks > 20, `tasks were started (${world.startedTasks})`);
}
