/** Reconciles the attempts that the leader has placed on a machine with the tasks that its worker lists. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { TaskStatus } from "../../protocol/model.js";
import type { Clock } from "../../transport/clock.js";
import { log, quoteName } from "../../transport/log.js";
import { firstFencingToken } from "../term/fencingTokens.js";
import { absenceProvesTaskGone } from "../term/leaseProofs.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { Attempts, CommandQueue } from "../term/attempts.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { Cordon } from "./cordon.js";

/**
 * Time for which a job avoids a machine on which one of its tasks failed, found no room, or did not start because another
 * attempt of the task had not exited (`in_use`).
 */
const AVOID_AFTER_ERROR_MS = 60_000;
const AVOID_NO_ROOM_MS = 2000;
const AVOID_IN_USE_MS = 3000;
/** Delay before a job is retried after the worker could not look it up. */
const UNKNOWN_JOB_RETRY_MS = 1000;
/** Exponential backoff of a job that fails repeatedly: initial delay, maximum delay, and maximum number of doublings. */
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 15_000;
const MAX_RETRY_DOUBLINGS = 8;
/** Number of failures of a job that count as chance and do not lengthen its retry delay. */
const FAILURES_BEFORE_BACKOFF = 2;
/**
 * Time after sending a start within which the worker should list its task. After this, a missing task needs a heartbeat
 * under a higher fencing token to settle whether it is gone.
 */
const LISTING_TIMEOUT_MS = 1000;

/** The parts of the term that reconciliation depends on. */
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
 * Compares a machine's attempts with its newest heartbeat and updates those that are listed, have exited, or are proved
 * gone by their absence (rule `ran_twice`).
 */
export class Reconciliation {
  constructor(private readonly context: ReconciliationContext) {}

  /**
   * Applies the newest heartbeat to the machine's attempts. Returns true if only a heartbeat under a higher fencing token
   * can settle the state of an attempt, so that the next commands have to raise the token.
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
    this.applyOrphanedResults(machine);
    return raiseToken;
  }

  /**
   * Maps the attempts that the machine's newest heartbeat lists to their status. An attempt whose record names a machine
   * that seems not to exist is moved to this one first.
   */
  private listedAttempts(machine: Machine): Map<Attempt, TaskStatus> {
    const { jobs, attempts } = this.context;
    const listed = new Map<Attempt, TaskStatus>();
    for (const status of machine.reportedTasks) {
      const attempt = jobs.get(status.jobId)?.attemptOf(status.task);
      if (attempt?.number !== status.attempt) continue;
      if (attempt.machine !== machine && isMisplaced(attempt))
        attempts.moveToListingMachine(attempt, machine);
      if (attempt.machine === machine) listed.set(attempt, status);
    }
    return listed;
  }

  /**
   * Handles an attempt that is not listed. Returns true if only a heartbeat under a higher fencing token can prove it gone.
   */
  private reconcileAbsent(attempt: Attempt, machine: Machine): boolean {
    const { clock, lease, attempts, commands } = this.context;
    const heartbeat = { epoch: machine.epoch, fencingToken: machine.seenToken };
    if (absenceProvesTaskGone(attempt, heartbeat, firstFencingToken(lease.term))) {
      const wasNeverListed = attempt.phase === null && !attempt.stop;
      if (!attempt.isInherited && wasNeverListed && attempt.sentEpoch === machine.epoch) {
        // The worker has certainly not received the start and will reject it from now on, so it may be sent again.
        attempt.sentToken = -1;
        commands.sendCommands(machine);
      } else attempts.markLost(attempt);
      return false;
    }
    const shouldBeListed =
      attempt.sentToken >= 0 &&
      (attempt.phase !== null || attempt.stop !== null) &&
      clock.nowMs() - attempt.sentMs > LISTING_TIMEOUT_MS;
    return (attempt.isInherited || shouldBeListed) && attempt.sentToken >= machine.fencingToken;
  }

  /**
   * Applies successful results of attempts that the leader no longer tracks. A task's result counts whichever attempt
   * produced it, but only while the task has no current attempt.
   */
  private applyOrphanedResults(machine: Machine): void {
    for (const status of machine.reportedTasks) {
      if (status.phase !== "exited" || status.cause !== "done") continue;
      const job = this.context.jobs.get(status.jobId);
      if (job && !job.isDone(status.task) && !job.attemptOf(status.task))
        this.context.attempts.markTaskDone(job, status.task);
    }
  }

  /** Handles an attempt that is listed and has not exited. */
  private reconcilePresent(attempt: Attempt, phase: Exclude<TaskStatus["phase"], "exited">): void {
    const { job, machine } = attempt;
    attempt.isInherited = false;
    if (attempt.sentToken < 0) {
      // An earlier leader started the attempt, and a second copy of its start command may be in flight. The copy carries a
      // token of the earlier term.
      attempt.sentToken = firstFencingToken(this.context.lease.term) - 1;
      attempt.sentEpoch = machine.epoch;
    }
    if (phase !== "fetching" && machine.images.isFetching(job.spec.image))
      machine.markImageFetched(job.spec.image);
    if (phase === "running" && attempt.runningMs === null) this.recordRunning(attempt);
    attempt.phase = phase;
    if (job.isCancelled && !attempt.stop) this.context.attempts.stopAttempt(attempt, 0);
  }

  private recordRunning(attempt: Attempt): void {
    const { job, machine } = attempt;
    const nowMs = this.context.clock.nowMs();
    attempt.runningMs = nowMs;
    log.debug(
      () =>
        `${job.id}/${attempt.task} (${quoteName(job.spec.className)}) started running on ${quoteName(machine.name)}, ` +
        `${((nowMs - job.submittedMs) / 1000).toFixed(2)} s after submission, ${((nowMs - attempt.plannedMs) / 1000).toFixed(2)} s after placement`,
    );
  }

  /** Handles an attempt that has exited: frees its resources and records its result or the cause of its failure. */
  private reconcileExited(attempt: Attempt, status: TaskStatus): void {
    const { job, machine } = attempt;
    const { attempts, estimates } = this.context;
    const nowMs = this.context.clock.nowMs();
    const runTimeS = attempt.runningMs === null ? 0 : (nowMs - attempt.runningMs) / 1000;
    // The task ran, so its image has been fetched.
    if (status.cause === "done" || status.cause === "error") machine.markImageFetched(job.spec.image);
    attempts.confirmGone(attempt);
    if (status.cause === "done") {
      machine.consecutiveFailures.clear();
      if (runTimeS > 0) estimates.runTimes.recordRun(job.spec.className, runTimeS, job.spec.estimateS);
      attempts.markTaskDone(job, attempt.task);
      return;
    }
    recordFailure(job, machine, status.cause, nowMs);
    if (status.cause === "error") this.context.cordon.cordonIfFaulty(machine);
    if (job.spec.kind === "gang") attempts.restartGang(job);
  }
}

/**
 * Whether only a record places the attempt on its machine, and another machine that lists the attempt must be the right
 * one. Members of a gang share numbers with their replacements, so a list may show the member that was replaced.
 */
function isMisplaced({ isInherited, machine, job }: Attempt): boolean {
  return isInherited && !machine.isNameConfirmed && job.spec.kind !== "gang";
}

/** Records on the job where and when it may be retried. */
function recordFailure(job: Job, machine: Machine, cause: TaskStatus["cause"], nowMs: number): void {
  switch (cause) {
    case "error":
      job.failureCount++;
      job.failedMachineNames.add(machine.name);
      machine.consecutiveFailures.set(job.id, (machine.consecutiveFailures.get(job.id) ?? 0) + 1);
      job.avoidedUntilMs.set(machine.name, nowMs + AVOID_AFTER_ERROR_MS);
      // A misconfigured job fails on every machine, so its retries back off.
      job.backOffUntilMs = nowMs + retryDelayMs(job.failureCount);
      break;
    case "no_room":
      job.avoidedUntilMs.set(machine.name, nowMs + AVOID_NO_ROOM_MS);
      break;
    case "in_use":
      job.avoidedUntilMs.set(machine.name, nowMs + AVOID_IN_USE_MS);
      break;
    case "unknown":
      job.backOffUntilMs = nowMs + UNKNOWN_JOB_RETRY_MS;
      break;
    // The attempt finished, was stopped on request, or ended through no fault of the job or the machine.
    case "done":
    case "stopped":
    case "peers":
    case "incomplete":
    case "other":
    case null:
      break;
  }
}

/** Returns the delay, in milliseconds, before a job with the given number of failures is retried. */
function retryDelayMs(failures: number): number {
  const doublings = Math.min(MAX_RETRY_DOUBLINGS, Math.max(0, failures - FAILURES_BEFORE_BACKOFF));
  return Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** doublings);
}
