/** Workloads that scenario tests add to the mixed workload; each function submits jobs with one property under test. */
import type { World } from "./world.js";

const PRIORITIES = ["best_effort", "standard", "high", "prod"];

/** Submits arrays whose tasks complete one after the other, 9 s apart. */
export function submitArraysWithUnequalRunTimes({ users }: World): void {
  for (let i = 0; i < 8; i++) {
    const crew = i % 2 ? "one" : "two";
    const fields = { ref: `job-70000${i}`, crew, spores: 2 + (i % 2), cores: 1, memoryGb: 2 };
    users.submit(fields, 3 + i).runTimeStepS = 9;
  }
}

/** Submits arrays and gangs that have to run in one zone, either a named one or any single one. */
export function submitZoneBoundJobs({ users }: World): void {
  for (let i = 0; i < 8; i++) {
    const binding = i % 2 ? { patch: i % 4 === 1 ? "a" : "b" } : { together: true };
    const crew = i % 3 ? "one" : "two";
    users.submit({ ref: `job-71000${i}`, crew, spores: 3, cores: 2, ...binding }, 12 + 3 * i);
    const gang = { form: "ensemble", spores: 2, cores: 2, rank: "high", cairnS: 2 };
    users.submit({ ref: `job-72000${i}`, crew, ...gang, ...binding }, 10 + 2 * i);
  }
}

/** Submits arrays of both teams and all priorities that exceed both the teams' limits and the machines' capacity. */
export function submitOverload({ users }: World): void {
  for (let i = 0; i < 24; i++) {
    const crew = i % 2 ? "one" : "two";
    const rank = PRIORITIES[i % PRIORITIES.length]!;
    const ref = `job-73${String(i).padStart(4, "0")}`;
    users.submit({ ref, crew, rank, spores: 6, cores: 2 }, 4 + (i % 5));
  }
}
