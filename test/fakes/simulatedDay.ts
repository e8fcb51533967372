/** Simulated days for scenario tests: a workload and faults at given times, run to the end and checked. */
import assert from "node:assert/strict";
import test from "node:test";
import { inject, type Fault } from "./faults/fault.js";
import { submitLongRunningServices } from "./longRunningServices.js";
import { submitMixedWorkload } from "./mixedWorkload.js";
import { World } from "./world.js";

/** A fault, or a custom action on the world, and its time in seconds after the start of the workload. */
export type ScenarioStep = [atS: number, step: Fault | ((world: World) => void)];

/** The workload and the faults of one simulated day. */
export interface SimulatedDay {
  name: string;
  /** The world's seed. It belongs to the scenario and does not depend on its position in a table. */
  seed: number;
  /** Share of POST requests that are delivered twice; the default is 0. */
  duplicateShare?: number;
  /** Maximum delay of a duplicate after its original; the default is 20 s. */
  maxDuplicateDelayS?: number;
  /** Whether the scenario also runs with 5 controllers, in addition to 3. */
  alsoWithFiveControllers?: boolean;
  /** Number of services, submitted before the mixed workload, that run until they are cancelled; the default is 0. */
  longRunningServices?: number;
  /** Submits the scenario's own workload, in addition to the mixed workload. */
  submitWorkload?: (world: World) => void;
  steps: ScenarioStep[];
}

/**
 * Injects the fault `times` times, first at `fromS` and then every `everyS`; each injection selects its own targets.
 */
export function repeatedSteps(fromS: number, everyS: number, times: number, fault: Fault): ScenarioStep[] {
  return Array.from({ length: times }, (_, index) => [fromS + index * everyS, fault]);
}

/**
 * Registers a test for each day. Days with `alsoWithFiveControllers` get a second test with 5 controllers, whose seed
 * is `fiveControllerSeedOffset` higher.
 */
export function testSimulatedDays(
  prefix: string,
  days: SimulatedDay[],
  fiveControllerSeedOffset: number,
): void {
  for (const day of days) {
    test(`${prefix}: ${day.name}`, () => runSimulatedDay(new World(day.seed), day));
    if (!day.alsoWithFiveControllers) continue;
    test(`${prefix} with 5 controllers: ${day.name}`, () =>
      runSimulatedDay(new World(day.seed + fiveControllerSeedOffset, { controllerCount: 5 }), day));
  }
}

/** Runs the day and asserts that no rule is violated and that every accepted job ends, whichever faults occur. */
async function runSimulatedDay(world: World, day: SimulatedDay): Promise<void> {
  world.net.duplicateShare = day.duplicateShare ?? 0;
  world.net.maxDuplicateDelayMs = (day.maxDuplicateDelayS ?? 20) * 1000;
  await world.run(3);
  for (const [atS, step] of day.steps) {
    world.clock.after(atS * 1000, () => (typeof step === "function" ? step(world) : inject(world, step)));
  }
  const lastStepS = Math.max(0, ...day.steps.map(([atS]) => atS));
  world.faultFreeFromMs = world.clock.nowMs() + Math.max(60, lastStepS + 40) * 1000;
  submitLongRunningServices(world, day.longRunningServices ?? 0);
  day.submitWorkload?.(world);
  await submitMixedWorkload(world, 40);
  // The long-running services have to survive the faults, so they are cancelled only after the fault period.
  await world.run(Math.max(25, lastStepS));
  // Faults that extend the fault period may outlast the last step.
  await world.runUntilFaultFree();
  world.users.cancelServices();
  await world.run(85);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.users.unfinishedJobIds(), [], "every accepted job is completed or cancelled");
  assert.ok(world.startedTasks > 20, `more than 20 tasks started (${world.startedTasks})`);
}
