/** Cordons machines that must get no new work because tasks fail on them or the cloud will interrupt them. */
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";
import { log, quoteName } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import { machineLooksFaulty } from "../scheduling/failureDetection.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";

/** Duration of the cordon on a faulty machine; a machine without work is scaled in before the cordon expires. */
const FAULTY_CORDON_MS = 90_000;
/**
 * A task keeps running if its estimated remaining time is below this fraction of the time until the interruption. The
 * fraction leaves a margin because run times are often underestimated.
 */
const SAFE_NOTICE_FRACTION = 0.6;

/** The parts of the term that cordoning depends on. */
export interface CordonContext {
  clock: Clock;
  jobs: JobRegistry;
  attempts: Attempts;
  estimates: Estimates;
}

/** Decides which machines are cordoned, and evicts the attempts that must not stay on them. */
export class Cordon {
  constructor(private readonly context: CordonContext) {}

  /**
   * Cordons a machine on which jobs fail that run well elsewhere, or on which several jobs fail and none succeeds. Such a
   * machine only fails tasks that it starts, so running tasks continue and attempts that have not started are evicted.
   */
  cordonIfFaulty(machine: Machine): void {
    if (machine.isCordoned || !machineLooksFaulty(machine, this.context.jobs.byId)) return;
    cordon(machine, "repeated task failures");
    machine.cordonUntilMs = this.context.clock.nowMs() + FAULTY_CORDON_MS;
    machine.consecutiveFailures.clear();
    for (const attempt of [...machine.attempts])
      if (attempt.phase === null || attempt.phase === "fetching")
        this.context.attempts.stopGracefully(attempt);
  }

  /**
   * Cordons a machine with a spot interruption notice. Stops the attempts that would not finish before the interruption
   * while there is still time to save checkpoints.
   */
  drainBeforeInterruption(machine: Machine): void {
    cordon(machine, "spot interruption notice");
    const nowMs = this.context.clock.nowMs();
    const noticeS = ((machine.interruptionAtMs ?? nowMs) - nowMs) / 1000;
    for (const attempt of [...machine.attempts])
      if (!this.finishesBeforeInterruption(attempt, noticeS, nowMs))
        this.context.attempts.stopGracefully(attempt);
  }

  /**
   * True if a running array task without checkpoints is expected to finish well before the interruption; false for every
   * other task.
   */
  private finishesBeforeInterruption(attempt: Attempt, noticeS: number, nowMs: number): boolean {
    const { spec } = attempt.job;
    if (spec.kind !== "array" || spec.checkpointS !== 0 || attempt.phase !== "running") return false;
    const runTimeS = attempt.runningMs === null ? 0 : (nowMs - attempt.runningMs) / 1000;
    const remainingS =
      this.context.estimates.runTimes.expectedRunTimeS(spec.className, spec.estimateS) - runTimeS;
    return remainingS < noticeS * SAFE_NOTICE_FRACTION;
  }
}

/** Removes the machine's cordon once `cordonUntilMs` has passed. */
export function liftExpiredCordon(machine: Machine, nowMs: number): void {
  if (machine.isCordoned && nowMs > machine.cordonUntilMs) machine.isCordoned = false;
}

function cordon(machine: Machine, reason: string): void {
  if (machine.isCordoned) return;
  machine.isCordoned = true;
  machine.cordonReason = reason;
  log.info(`${quoteName(machine.name)}: cordoned, gets no new work: ${reason}`);
}
