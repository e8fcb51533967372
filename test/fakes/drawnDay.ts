import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { draw, longJob, TROUBLES, type Draw } from "./troubles.js";
import { submitMixedWork } from "./mixedWork.js";
import { formatViolation, type Violation } from "./rules/violations.js";
import { World } from "./world.js";

export interface Outcome {
  day: Draw;
  broken: Violation[];
  unfinished: string[];
}

/** The day that a seed stands for, from its first submission until long after its last trouble. */
export async function playDrawn(seed: number): Promise<Outcome> {
  const rng = xoroshiro128plus(seed);
  // Its first numbers are much alike for seeds that are near each other.
  for (let i = 0; i < 8; i++) rng.next();
  const day = draw(() => (rng.next() >>> 0) / 2 ** 32);
  const world = new World(seed, day.options);
  world.net.duplicateShare = day.repeatShare;
  world.net.duplicateWithinMs = 30_000;
  await world.run(3);
  for (let i = 0; i < 6; i++) longJob(world, i);
  for (const { atS, name } of day.troubles) {
    const { play } = TROUBLES.find((t) => t.name === name)!;
    world.clock.after(atS * 1000, () => play(world));
  }
  world.faultFreeFromMs = world.clock.nowMs() + 110_000;
  await submitMixedWork(world, 60);
  await world.run(50);
  // Some troubles last longer than the others.
  await world.runUntilFaultFree();
  // Whoever is still there has been left to run: its users call it off now.
  world.users.cancelServices();
  await world.run(115);
  return { day, broken: world.violations, unfinished: world.users.unfinishedJobs() };
}

export function tell(seed: number, outcome: Outcome): string {
  const at = outcome.day.troubles.map((t) => `  ${t.atS.toFixed(1)} s  ${t.name}`);
  const { controllerCount, zones, capacity } = outcome.day.options;
  return [
    `seed ${seed}: ${controllerCount} controllers${zones ? ` in zones ${zones.join(" ")}` : ""}, ${capacity} machines, repeats ${outcome.day.repeatShare}`,
    ...at,
    ...outcome.broken.map((b) => `  broken: ${formatViolation(b)}`),
    ...(outcome.unfinished.length > 0 ? [`  not over: ${outcome.unfinished.join(" ")}`] : []),
  ].join("\n");
}
