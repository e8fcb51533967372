import type { Attempt, Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import { machineLooksFaulty } from "../scheduling/failureDetection.js";
import type { Attempts } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";

/** A faulty machine that still holds work is tried again after this. */
const FAULTY_MS = 90_000;
/** Part of the time until an interruption in which a task should be over to be left alone: estimates are often too low. */
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
   * A machine on which jobs fail that run well elsewhere, or several jobs and nothing succeeds, is faulty. It gets no
   * new work; what runs there already goes on, for such a machine fails only what it starts.
   */
  cordonIfFaulty(machine: Machine): void {
    if (machine.isCordoned || !machineLooksFaulty(machine, this.context.jobs.byId)) return;
    cordon(machine, "fails what it starts");
    machine.cordonUntilMs = this.context.clock.nowMs() + FAULTY_MS;
    machine.consecutiveFailures.clear();
    for (const attempt of [...machine.attempts])
      if (attempt.phase === null || attempt.phase === "fetching")
        this.context.attempts.stopGracefully(attempt);
  }

  /** The cloud is about to interrupt it: what can write a checkpoint does so now, what can't end in time leaves. */
  drainBeforeInterruption(machine: Machine): void {
    cordon(machine, "the cloud takes it");
    const nowMs = this.context.clock.nowMs();
    const noticeS = ((machine.interruptionAtMs ?? nowMs) - nowMs) / 1000;
    for (const attempt of [...machine.attempts])
      if (!this.endsInTime(attempt, noticeS, nowMs)) this.context.attempts.stopGracefully(attempt);
  }

  /** A running task without checkpoints that should be over well before the interruption. */
  private endsInTime(attempt: Attempt, noticeS: number, nowMs: number): boolean {
    const { spec } = attempt.job;
    if (spec.kind !== "array" || spec.checkpointS !== 0 || attempt.phase !== "running") return false;
    const ranS = attempt.runningMs === null ? 0 : (nowMs - attempt.runningMs) / 1000;
    const leftS = this.context.estimates.runTimes.expectedS(spec.className, spec.estimateS) - ranS;
    return leftS < noticeS * SAFE_PART_OF_NOTICE;
  }
}

/** Ends a cordon whose time is over. */
export function liftExpiredCordon(machine: Machine, nowMs: number): void {
  if (machine.isCordoned && nowMs > machine.cordonUntilMs) machine.isCordoned = false;
}

function cordon(machine: Machine, reason: string): void {
  if (machine.isCordoned) return;
  machine.isCordoned = true;
  machine.cordonReason = reason;
  log.info(`${machine.name}: cordoned, no new work: ${reason}`);
}
