/** Reconciles the attempts that the leader has placed on a machine with the tasks that the machine lists. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { TaskStatus } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import { absenceProvesTaskGone } from "../term/leaseProofs.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { Attempts, CommandQueue } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { Cordon } from "./cordon.js";

/** A machine on which a task failed, had no room or was still in use is avoided by its job for so long. */
const AVOID_AFTER_ERROR_MS = 60_000;
const AVOID_WITHOUT_ROOM_MS = 2000;
const AVOID_IN_USE_MS = 3000;
/** A job that the worker could not look up is tried again after this. */
const RETRY_UNKNOWN_MS = 1000;
/** Exponential backoff of a job that fails again and again: the first pause, the longest one, and what makes it grow. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 15_000;
const MAX_RETRY_DOUBLINGS = 8;
/** So many failures of a job count as bad luck and lengthen no pause. */
const FREE_FAILURES = 2;
/** A start that was sent longer ago than this, and whose task is not listed, needs a higher fencing token to settle it. */
const LISTED_WITHIN_MS = 1000;

/** What reconciliation uses of the term. */
export interface ReconciliationContext {
  clock: Clock;
  lease: TermLease;
  jobs: JobRegistry;
  attempts: Attempts;
  commands: CommandQueue;
  estimates: Estimates;
  cordon: Cordon;
}

/**
 * Compares a machine's attempts with its newest heartbeat: attempts that are listed, that have exited, and that are proved
 * gone by their absence (rule `ran_twice`).
 */
export class Reconciliation {
  constructor(private readonly context: ReconciliationContext) {}

  /**
   * Applies the newest heartbeat to the machine's attempts; true when only a heartbeat under a higher fencing token can
   * settle what became of one, so that the next commands have to raise it.
   */
  reconcile(machine: Machine): boolean {
    const listed = this.listedAttempts(machine);
    let raiseToken = false;
    for (const attempt of [...machine.attempts]) {
      const status = listed.get(attempt);
      if (!status) raiseToken = this.reconcileAbsent(attempt, machine) || raiseToken;
      else if (status.phase === "exited") this.reconcileExited(attempt, status);
      else this.reconcilePresent(attempt, status.phase);
    }
    this.applyStrayResults(machine);
    return raiseToken;
  }

  /** The machine's attempts that its newest heartbeat lists. */
  private listedAttempts(machine: Machine): Map<Attempt, TaskStatus> {
    const listed = new Map<Attempt, TaskStatus>();
    for (const status of machine.listedTasks) {
      const attempt = this.context.jobs.get(status.jobId)?.attemptOf(status.task);
      if (attempt && attempt.number === status.attempt && attempt.machine === machine)
        listed.set(attempt, status);
    }
    return listed;
  }

  /** The attempt is not listed; true when only a heartbeat under a higher fencing token can prove it gone. */
  private reconcileAbsent(attempt: Attempt, machine: Machine): boolean {
    const { clock, lease, attempts, commands } = this.context;
    const heartbeat = { epoch: machine.epoch, fencingToken: machine.seenToken };
    if (absenceProvesTaskGone(attempt, heartbeat, firstFencingToken(lease.term))) {
      const wasNeverListed = attempt.phase === null && !attempt.stop;
      if (!attempt.isInherited && wasNeverListed && attempt.sentEpoch === machine.epoch) {
        // The worker has certainly not received the start and refuses it from now on: it may be sent anew.
        attempt.sentToken = -1;
        commands.sendCommands(machine);
      } else attempts.markLost(attempt);
      return false;
    }
    const shouldBeListed =
      attempt.sentToken >= 0 &&
      (attempt.phase !== null || attempt.stop !== null) &&
      clock.nowMs() - attempt.sentMs > LISTED_WITHIN_MS;
    return (attempt.isInherited || shouldBeListed) && attempt.sentToken >= machine.fencingToken;
  }

  /** A result counts whichever attempt brought it, also one that has been replaced. */
  private applyStrayResults(machine: Machine): void {
    for (const status of machine.listedTasks) {
      if (status.phase !== "exited" || status.cause !== "done") continue;
      const job = this.context.jobs.get(status.jobId);
      if (job && !job.isDone(status.task) && !job.attemptOf(status.task))
        this.context.attempts.markTaskDone(job, status.task);
    }
  }

  /** The attempt is listed and has not exited. */
  private reconcilePresent(attempt: Attempt, phase: Exclude<TaskStatus["phase"], "exited">): void {
    const { job, machine } = attempt;
    attempt.isInherited = false;
    if (attempt.sentToken < 0) {
      // Started by an earlier leader, whose start command may be under way a second time: under a token of its term.
      attempt.sentToken = firstFencingToken(this.context.lease.term) - 1;
      attempt.sentEpoch = machine.epoch;
    }
    if (phase !== "fetching" && machine.images.isFetching(job.spec.image))
      machine.markImageFetched(job.spec.image);
    if (phase === "running" && attempt.runningMs === null) this.noteRunning(attempt);
    attempt.phase = phase;
    if (job.isCancelled && !attempt.stop) this.context.attempts.stopAttempt(attempt, 0);
  }

  private noteRunning(attempt: Attempt): void {
    const { job, machine } = attempt;
    const nowMs = this.context.clock.nowMs();
    attempt.runningMs = nowMs;
    log.debug(
      () =>
        `${job.id}/${attempt.task} (${job.spec.className}) runs on ${machine.name}, ` +
        `${((nowMs - job.submittedMs) / 1000).toFixed(2)} s after its submission, ${((nowMs - attempt.plannedMs) / 1000).toFixed(2)} s after its plan`,
    );
  }

  /** The attempt has exited: its place is free, and its result, or why it failed, is noted. */
  private reconcileExited(attempt: Attempt, status: TaskStatus): void {
    const { job, machine } = attempt;
    const { attempts, estimates } = this.context;
    const nowMs = this.context.clock.nowMs();
    const ranS = attempt.runningMs === null ? 0 : (nowMs - attempt.runningMs) / 1000;
    // A task that ran had its image.
    if (status.cause === "done" || status.cause === "error") machine.markImageFetched(job.spec.image);
    attempts.confirmGone(attempt);
    if (status.cause === "done") {
      machine.consecutiveFailures.clear();
      if (ranS > 0) estimates.runTimes.recordRun(job.spec.className, ranS, job.spec.estimateS);
      attempts.markTaskDone(job, attempt.task);
      return;
    }
    noteFailure(job, machine, status.cause, nowMs);
    if (status.cause === "error") this.context.cordon.cordonIfFaulty(machine);
    if (job.spec.kind === "gang") attempts.breakGang(job);
  }
}

/** Notes on the job where and when it may be tried again. */
function noteFailure(job: Job, machine: Machine, cause: TaskStatus["cause"], nowMs: number): void {
  switch (cause) {
    case "error":
      job.failureCount++;
      job.failedOn.add(machine.name);
      machine.consecutiveFailures.set(job.id, (machine.consecutiveFailures.get(job.id) ?? 0) + 1);
      job.avoidedUntilMs.set(machine.name, nowMs + AVOID_AFTER_ERROR_MS);
      // A job with a mistake fails everywhere: it is tried less and less often.
      job.notBeforeMs = nowMs + retryDelayMs(job.failureCount);
      break;
    case "no_room":
      job.avoidedUntilMs.set(machine.name, nowMs + AVOID_WITHOUT_ROOM_MS);
      break;
    case "in_use":
      job.avoidedUntilMs.set(machine.name, nowMs + AVOID_IN_USE_MS);
      break;
    case "unknown":
      job.notBeforeMs = nowMs + RETRY_UNKNOWN_MS;
      break;
    // Stopped on request, or lost without its own or the machine's fault.
    case "done":
    case "stopped":
    case "peers":
    case "incomplete":
    case "other":
    case null:
      break;
  }
}

/** Pause before a job with so many failures is tried again. */
function retryDelayMs(failures: number): number {
  const doublings = Math.min(MAX_RETRY_DOUBLINGS, Math.max(0, failures - FREE_FAILURES));
  return Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** doublings);
}
