/** Starts that were planned and never sent need no proof: they may be given up at once. */
import type { Machine } from "../../bookkeeping/workload.js";
import type { Attempts } from "../term/attempts.js";

/**
 * Gives up the machine's starts that were planned before `plannedBeforeMs` and never sent, so that their tasks are placed
 * elsewhere. Nothing has to be proved: the worker can't know of them.
 */
export function giveUpUnsentStarts(attempts: Attempts, machine: Machine, plannedBeforeMs: number): void {
  for (const attempt of [...machine.attempts]) {
    const neverSent = attempt.sentToken < 0 && !attempt.isInherited;
    // Giving up one member of a gang gives up the others, so it may be gone by its turn.
    if (neverSent && attempt.plannedMs < plannedBeforeMs && machine.attempts.has(attempt))
      attempts.stopGracefully(attempt);
  }
}
