/** Construction of attempts. */
import type { Attempt } from "./workload.js";

/** Creates an attempt that no leader has started: it is neither stored, nor has a start command been sent. */
export function unsentAttempt(
  identity: Pick<Attempt, "job" | "task" | "number" | "machine">,
  nowMs: number,
): Attempt {
  return {
    ...identity,
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
