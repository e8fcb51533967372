/** Cordons: machines that get no new work, since they fail what they start or will be interrupted. */
import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import { machineLooksFaulty } from "../scheduling/failureDetection.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";

/** A faulty machine is tried again after this; without work it is scaled in before. */
const FAULTY_CORDON_MS = 90_000;
/** A task is left alone if it should end within this part of the time until an interruption: estimates are often too low. */
const SAFE_PART_OF_NOTICE = 0.6;

/** What cordoning uses of the term. */
export interface CordonContext {
  clock: Clock;
  jobs: JobRegistry;
  attempts: Attempts;
  estimates: Estimates;
}

/** Decides which machines get no new work, and evicts from them what has to leave. */
export class Cordon {
  constructor(private readonly context: CordonContext) {}

  /**
   * Cordons a machine on which jobs fail that run well elsewhere, or on which several jobs fail and none succeeds. What
   * runs there goes on, for such a machine fails only what it starts; what has not started yet leaves.
   */
  cordonIfFaulty(machine: Machine): void {
    if (machine.isCordoned || !machineLooksFaulty(machine, this.context.jobs.byId)) return;
    cordon(machine, "fails what it starts");
    machine.cordonUntilMs = this.context.clock.nowMs() + FAULTY_CORDON_MS;
    machine.consecutiveFailures.clear();
    for (const attempt of [...machine.attempts])
      if (attempt.phase === null || attempt.phase === "fetching")
        this.context.attempts.stopGracefully(attempt);
  }

  /**
   * Cordons a machine that the cloud has announced to interrupt, and stops what would not end in time, while there is still
   * time for checkpoints.
   */
  drainBeforeInterruption(machine: Machine): void {
    cordon(machine, "the cloud takes it");
    const nowMs = this.context.clock.nowMs();
    const noticeS = ((machine.interruptionAtMs ?? nowMs) - nowMs) / 1000;
    for (const attempt of [...machine.attempts])
      if (!this.endsInTime(attempt, noticeS, nowMs)) this.context.attempts.stopGracefully(attempt);
  }

  /** Should a running array task without checkpoints be over well before the interruption? All other tasks are stopped. */
  private endsInTime(attempt: Attempt, noticeS: number, nowMs: number): boolean {
    const { spec } = attempt.job;
    if (spec.kind !== "array" || spec.checkpointS !== 0 || attempt.phase !== "running") return false;
    const ranS = attempt.runningMs === null ? 0 : (nowMs - attempt.runningMs) / 1000;
    const leftS = this.context.estimates.runTimes.expectedS(spec.className, spec.estimateS) - ranS;
    return leftS < noticeS * SAFE_PART_OF_NOTICE;
  }
}

/** Uncordons a machine whose cordon has expired. */
export function liftExpiredCordon(machine: Machine, nowMs: number): void {
  if (machine.isCordoned && nowMs > machine.cordonUntilMs) machine.isCordoned = false;
}

function cordon(machine: Machine, reason: string): void {
  if (machine.isCordoned) return;
  machine.isCordoned = true;
  machine.cordonReason = reason;
  log.info(`${machine.name}: cordoned, no new work: ${reason}`);
}
