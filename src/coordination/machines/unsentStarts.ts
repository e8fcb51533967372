import type { Machine } from "../../bookkeeping/workload.js";
import type { Attempts } from "../term/attempts.js";

/** Starts that were planned before then and never sent are given up, so that their tasks go elsewhere. */
export function giveUpUnsentStarts(attempts: Attempts, machine: Machine, plannedBeforeMs: number): void {
  for (const attempt of [...machine.attempts]) {
    const neverSent = attempt.sentToken < 0 && !attempt.isInherited;
    if (neverSent && attempt.plannedMs < plannedBeforeMs && machine.attempts.has(attempt))
      attempts.stopGracefully(attempt);
  }
}
