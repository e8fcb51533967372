/** Services that run for the whole simulated day unless they are cancelled. */
import type { World } from "./world.js";

/** Submits `count` services of both teams; two thirds of them may run on spot instances. */
export function submitLongRunningServices(world: World, count: number): void {
  for (let i = 0; i < count; i++) {
    const ref = `job-9${String(i).padStart(5, "0")}`;
    const crew = i % 2 ? "one" : "two";
    world.users.submit({ ref, crew, form: "standing", rank: "prod", cores: 1, windfall: i % 3 > 0 }, null);
  }
}
