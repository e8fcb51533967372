/** Composes the batch of commands that is due to a machine's worker, and chooses the fencing token of the batch. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { Command, TaskStatus } from "../../protocol/model.js";

/** The commands of one delivery, and the fencing token under which all of them are sent. */
export interface CommandBatch {
  fencingToken: number;
  commands: Command[];
}

/** Intervals after which a start or stop command is due again, unless a heartbeat has shown its effect. */
const START_RETRY_INTERVAL_MS = 1200;
const STOP_RETRY_INTERVAL_MS = 600;

/**
 * Composes the commands to send to a machine now. To be called right before sending: any start or stop in the batch must be
 * sent, because this function records on the machine and its attempts what is sent (`sentToken`, `sentEpoch`, `sentMs`,
 * `lastStartToken`, `stop.isSent`, `stop.lastSentMs`). The proofs that a task is gone depend on knowing every start command
 * that may be in flight.
 *
 * After a `reap` the worker has forgotten the attempt, and a copy of its start command still in flight would run it again
 * (rule `ran_twice`). A batch with a reap therefore carries a token above that of every start command sent before, so that
 * the worker rejects every start command still in flight. `raiseToken` requests such a token for any batch, and
 * `includeStarts` allows start commands in the batch.
 */
export function composeCommandBatch(
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
  nowMs: number,
  options: { includeStarts: boolean; raiseToken: boolean },
): CommandBatch {
  const commands: Command[] = [];
  const hasReaps = addCommandsForOrphanedTasks(commands, machine, jobs);
  addDueStops(commands, machine, nowMs);
  // The token is raised before the start commands are added, because they carry the new token.
  if (options.raiseToken || (hasReaps && machine.lastStartToken >= machine.fencingToken))
    machine.raiseToken();
  if (options.includeStarts) addDueStarts(commands, machine, nowMs);
  return { fencingToken: machine.fencingToken, commands };
}

/**
 * Adds a stop or reap command for each listed task that is not a current attempt on the machine. Returns true if any
 * command is a reap.
 */
function addCommandsForOrphanedTasks(
  commands: Command[],
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
): boolean {
  let hasReaps = false;
  for (const status of machine.reportedTasks) {
    const { jobId, task, attempt } = status;
    const job = jobs.get(jobId);
    const current = job?.attemptOf(task);
    if (current !== undefined && current.number === attempt && current.machine === machine) continue;
    if (status.phase !== "exited") {
      // The task's job is finished or cancelled, or another attempt has replaced this one.
      commands.push({ op: "stop", jobId, task, attempt, graceS: 0 });
    } else if (mayReap(status, job)) {
      commands.push({ op: "reap", jobId, task, attempt });
      hasReaps = true;
    }
  }
  return hasReaps;
}

/** True if the worker may forget the exited task. Until a result is durable, the worker's list holds its only copy. */
function mayReap(status: TaskStatus, job: Job | undefined): boolean {
  if (status.cause !== "done" || !job || job.isCancelled) return true;
  return job.isDurablyDone(status.task);
}

/**
 * Adds a stop command for each attempt that is due one, and marks the stop request as sent. An attempt whose start was
 * never sent needs no stop command.
 */
function addDueStops(commands: Command[], machine: Machine, nowMs: number): void {
  for (const attempt of machine.attempts) {
    const { stop } = attempt;
    if (!stop || (attempt.sentToken < 0 && !attempt.isInherited)) continue;
    if (stop.isSent && nowMs - stop.lastSentMs < STOP_RETRY_INTERVAL_MS) continue;
    stop.isSent = true;
    stop.lastSentMs = nowMs;
    commands.push({
      op: "stop",
      jobId: attempt.job.id,
      task: attempt.task,
      attempt: attempt.number,
      graceS: stop.graceS,
    });
  }
}

/** Adds a start command for each attempt that is due one, and records the token and epoch under which it is sent. */
function addDueStarts(commands: Command[], machine: Machine, nowMs: number): void {
  for (const attempt of machine.attempts) {
    if (!isStartDue(attempt, machine, nowMs)) continue;
    attempt.sentToken = machine.fencingToken;
    attempt.sentEpoch = machine.epoch;
    attempt.sentMs = nowMs;
    machine.lastStartToken = machine.fencingToken;
    commands.push({ op: "start", jobId: attempt.job.id, task: attempt.task, attempt: attempt.number });
  }
}

function isStartDue(attempt: Attempt, machine: Machine, nowMs: number): boolean {
  // The record of an attempt must be durable before its start command is sent.
  if (!attempt.isDurable || attempt.stop || attempt.phase !== null || attempt.isInherited) return false;
  if (attempt.sentToken < 0) return true;
  return attempt.sentEpoch === machine.epoch && nowMs - attempt.sentMs >= START_RETRY_INTERVAL_MS;
}
