/** Randomized simulated days: runs the fault schedule that a seed generates and formats the outcome. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { generateSchedule, type RandomizedSchedule } from "./faults/randomizedSchedule.js";
import { inject } from "./faults/fault.js";
import { submitLongRunningServices } from "./longRunningServices.js";
import { submitMixedWorkload } from "./mixedWorkload.js";
import { formatViolation, type Violation } from "./rules/violations.js";
import { World } from "./world.js";

/** The result of a randomized day. */
export interface RandomizedDayOutcome {
  schedule: RandomizedSchedule;
  violations: Violation[];
  /** Ids of the accepted jobs that were neither completed nor cancelled at the end of the day. */
  unfinishedJobIds: string[];
}

/** Number of outputs to discard: adjacent seeds produce correlated first outputs. */
const SKIPPED_OUTPUTS = 8;
const LONG_RUNNING_SERVICES = 6;

/**
 * Runs the day that the seed generates, from the first submission until all faults and the recovery after them are
 * over.
 */
export async function runRandomizedDay(seed: number): Promise<RandomizedDayOutcome> {
  const generator = xoroshiro128plus(seed);
  for (let i = 0; i < SKIPPED_OUTPUTS; i++) generator.next();
  const schedule = generateSchedule(() => (generator.next() >>> 0) / 2 ** 32);
  const world = new World(seed, schedule.options);
  world.net.duplicateShare = schedule.duplicateShare;
  world.net.maxDuplicateDelayMs = 30_000;
  await world.run(3);
  submitLongRunningServices(world, LONG_RUNNING_SERVICES);
  for (const { atS, fault } of schedule.faults) world.clock.after(atS * 1000, () => inject(world, fault));
  world.faultFreeFromMs = world.clock.nowMs() + 110_000;
  await submitMixedWorkload(world, 60);
  await world.run(50);
  // Faults that extend the fault period may outlast the mixed workload.
  await world.runUntilFaultFree();
  // Services run until they are cancelled; their users cancel the remaining ones now.
  world.users.cancelServices();
  await world.run(115);
  return { schedule, violations: world.violations, unfinishedJobIds: world.users.unfinishedJobIds() };
}

/** Whether no rule was violated and no job was left unfinished. */
export function hasPassed({ violations, unfinishedJobIds }: RandomizedDayOutcome): boolean {
  return violations.length === 0 && unfinishedJobIds.length === 0;
}

/**
 * Formats the world's parameters, the faults with their times, the violations and the unfinished jobs, one per line.
 */
export function formatOutcome(
  seed: number,
  { schedule, violations, unfinishedJobIds }: RandomizedDayOutcome,
): string {
  const { controllerCount, zones, capacity } = schedule.options;
  const zoneText = zones ? ` in zones ${zones.join(" ")}` : "";
  const lines = [
    `seed ${seed}: ${controllerCount} controllers${zoneText}, ${capacity} machines, duplicate share ${schedule.duplicateShare}`,
  ];
  for (const { atS, name } of schedule.faults) lines.push(`  ${atS.toFixed(1)} s  ${name}`);
  for (const violation of violations) lines.push(`  violation: ${formatViolation(violation)}`);
  if (unfinishedJobIds.length > 0) lines.push(`  unfinished jobs: ${unfinishedJobIds.join(" ")}`);
  return lines.join("\n");
}
