import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { draw, longJob, TROUBLES, type Draw } from "./troubles.js";
import { World } from "./world.js";

export interface Outcome {
  day: Draw;
  broken: string[];
  unfinished: string[];
}

/** The day that a seed stands for, from its first submission until long after its last trouble. */
export async function playDrawn(seed: number): Promise<Outcome> {
  const rng = xoroshiro128plus(seed);
  // Its first numbers are much alike for seeds that are near each other.
  for (let i = 0; i < 8; i++) rng.next();
  const day = draw(() => (rng.next() >>> 0) / 2 ** 32);
  const w = new World(seed, day.options);
  w.net.repeatShare = day.repeatShare;
  w.net.repeatWithinMs = 30_000;
  await w.run(3);
  for (let i = 0; i < 6; i++) longJob(w, i);
  for (const { atS, name } of day.troubles) {
    const { play } = TROUBLES.find((t) => t.name === name)!;
    w.clock.after(atS * 1000, () => play(w));
  }
  w.calmFromMs = w.clock.nowMs() + 110_000;
  await w.mixedWork(60);
  await w.run(50);
  // Some troubles last longer than the others.
  await w.run(Math.max(0, w.calmFromMs - w.clock.nowMs()) / 1000);
  // Whoever is still there has been left to run: its users call it off now.
  for (const job of w.jobs.values()) if (job.runS === null && job.accepted && !job.cancelAsked) w.cancel(job);
  await w.run(115);
  return { day, broken: w.broken, unfinished: w.unfinished() };
}

export function tell(seed: number, o: Outcome): string {
  const at = o.day.troubles.map((t) => `  ${t.atS.toFixed(1)} s  ${t.name}`);
  const { size, zones, capacity } = o.day.options;
  return [
    `seed ${seed}: ${size} controllers${zones ? ` in zones ${zones.join(" ")}` : ""}, ${capacity} machines, repeats ${o.day.repeatShare}`,
    ...at,
    ...o.broken.map((b) => `  broken: ${b}`),
    ...(o.unfinished.length > 0 ? [`  not over: ${o.unfinished.join(" ")}`] : []),
  ].join("\n");
}
