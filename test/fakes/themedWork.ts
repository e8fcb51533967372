/** Work that scenario tests add to a mixed day: each function submits jobs of one theme. */
import type { World } from "./world.js";

const PRIORITIES = ["best_effort", "standard", "high", "prod"];

/** Jobs whose tasks end one after the other, far apart. */
export function submitTasksOfUnequalLength({ users }: World): void {
  for (let i = 0; i < 8; i++) {
    const crew = i % 2 ? "one" : "two";
    const fields = { ref: `job-70000${i}`, crew, spores: 2 + (i % 2), cores: 1, memoryGb: 2 };
    users.submit(fields, 3 + i).runStepS = 9;
  }
}

/** Arrays and gangs bound to a zone, by its name or by being together. */
export function submitJobsBoundToZones({ users }: World): void {
  for (let i = 0; i < 8; i++) {
    const binding = i % 2 ? { patch: i % 4 === 1 ? "a" : "b" } : { together: true };
    const crew = i % 3 ? "one" : "two";
    users.submit({ ref: `job-71000${i}`, crew, spores: 3, cores: 2, ...binding }, 12 + 3 * i);
    const gang = { form: "ensemble", spores: 2, cores: 2, rank: "high", cairnS: 2 };
    users.submit({ ref: `job-72000${i}`, crew, ...gang, ...binding }, 10 + 2 * i);
  }
}

/** Work of both teams up to their limits, of all priorities, and far more than the machines hold. */
export function submitOverload({ users }: World): void {
  for (let i = 0; i < 24; i++) {
    const crew = i % 2 ? "one" : "two";
    const rank = PRIORITIES[i % PRIORITIES.length]!;
    const ref = `job-73${String(i).padStart(4, "0")}`;
    users.submit({ ref, crew, rank, spores: 6, cores: 2 }, 4 + (i % 5));
  }
}
