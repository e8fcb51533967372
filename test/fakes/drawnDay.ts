/** Days drawn from a seed, played to their end and printed. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { drawSchedule, type DrawnSchedule } from "./faults/drawnSchedule.js";
import { inject } from "./faults/fault.js";
import { submitLongJobs } from "./longJobs.js";
import { submitMixedWork } from "./mixedWork.js";
import { formatViolation, type Violation } from "./rules/violations.js";
import { World } from "./world.js";

/** What became of a drawn day. */
export interface DrawnDayOutcome {
  schedule: DrawnSchedule;
  violations: Violation[];
  /** Ids of the jobs that were accepted and neither done nor cancelled in the end. */
  unfinished: string[];
}

/** The generator's first numbers are much alike for seeds that are near each other. */
const SKIPPED_NUMBERS = 8;
const LONG_JOBS = 6;

/** Plays the day that a seed stands for, from its first submission until long after its last fault. */
export async function playDrawnDay(seed: number): Promise<DrawnDayOutcome> {
  const generator = xoroshiro128plus(seed);
  for (let i = 0; i < SKIPPED_NUMBERS; i++) generator.next();
  const schedule = drawSchedule(() => (generator.next() >>> 0) / 2 ** 32);
  const world = new World(seed, schedule.options);
  world.net.duplicateShare = schedule.duplicateShare;
  world.net.duplicateWithinMs = 30_000;
  await world.run(3);
  submitLongJobs(world, LONG_JOBS);
  for (const { atS, fault } of schedule.faults) world.clock.after(atS * 1000, () => inject(world, fault));
  world.faultFreeFromMs = world.clock.nowMs() + 110_000;
  await submitMixedWork(world, 60);
  await world.run(50);
  // Some faults last longer than the others.
  await world.runUntilFaultFree();
  // Services that are still there were left to run: their users cancel them now.
  world.users.cancelServices();
  await world.run(115);
  return { schedule, violations: world.violations, unfinished: world.users.unfinishedJobs() };
}

/** Did the day break no rule and leave no job unfinished? */
export function hasPassed({ violations, unfinished }: DrawnDayOutcome): boolean {
  return violations.length === 0 && unfinished.length === 0;
}

/** The day's world, its faults with their times, and what went wrong; a line each. */
export function formatOutcome(seed: number, { schedule, violations, unfinished }: DrawnDayOutcome): string {
  const { controllerCount, zones, capacity } = schedule.options;
  const zoneText = zones ? ` in zones ${zones.join(" ")}` : "";
  const lines = [
    `seed ${seed}: ${controllerCount} controllers${zoneText}, ${capacity} machines, repeats ${schedule.duplicateShare}`,
  ];
  for (const { atS, name } of schedule.faults) lines.push(`  ${atS.toFixed(1)} s  ${name}`);
  for (const violation of violations) lines.push(`  broken: ${formatViolation(violation)}`);
  if (unfinished.length > 0) lines.push(`  not over: ${unfinished.join(" ")}`);
  return lines.join("\n");
}
