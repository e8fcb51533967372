/** Construction of attempts. */
import type { Attempt } from "./workload.js";

/** Creates an attempt that no leader has started: it is neither stored, nor has a start command been sent. */
export function unsentAttempt(
  { job, task, number, machine }: Pick<Attempt, "job" | "task" | "number" | "machine">,
  nowMs: number,
): Attempt {
  // One literal, without a spread: all attempts have the same fields in the same order, which keeps access to them fast.
  return {
    job,
    task,
    number,
    machine,
    isDurable: false,
    isInherited: false,
    sentToken: -1,
    sentEpoch: 0,
    sentMs: -Infinity,
    phase: null,
    plannedMs: nowMs,
    runningMs: null,
    stop: null,
  };
}
