/** Abandons planned starts that were never sent, which needs no proof that their tasks are gone. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { Attempts } from "../term/attempts.js";

/**
 * Abandons the machine's starts that were planned before `plannedBeforeMs` and never sent, so that their tasks are placed
 * elsewhere. The worker cannot know of these starts, so no proof that their tasks are gone is needed.
 */
export function abandonUnsentStarts(attempts: Attempts, machine: Machine, plannedBeforeMs: number): void {
  for (const attempt of [...machine.attempts]) {
    const neverSent = attempt.sentToken < 0 && !attempt.isInherited;
    // Abandoning one member of a gang abandons the others, so the attempt may already be detached.
    if (neverSent && attempt.plannedMs < plannedBeforeMs && machine.attempts.has(attempt))
      attempts.stopGracefully(attempt);
  }
}
