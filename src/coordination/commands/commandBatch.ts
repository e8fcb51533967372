/** Composes the commands that a machine's worker is due, under which fencing token. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { Command, TaskStatus } from "../../protocol/model.js";

/** The commands of one delivery, and the fencing token that all of them carry. */
export interface CommandBatch {
  token: number;
  commands: Command[];
}

/** A start command is sent again after this, unless a heartbeat has shown its effect. */
const REPEAT_START_MS = 1200;
const REPEAT_STOP_MS = 600;

/**
 * What has to be sent to a machine now. Called right before sending: it marks on the machine and its attempts what is sent
 * (`sentToken`, `sentEpoch`, `sentMs`, `lastStartToken`, `stop.isSent`), for the proofs that a task is gone rely on knowing
 * every start command that may be under way.
 *
 * After a `reap` the worker has forgotten the attempt, and a copy of its start command still under way would run it again
 * (rule `ran_twice`). So a batch that reaps carries a token above that of every start command sent before: whatever is
 * still under way is refused from then on. `raise` asks for such a token in any case; `starts`: start commands may be sent.
 */
export function composeCommandBatch(
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
  nowMs: number,
  options: { starts: boolean; raise: boolean },
): CommandBatch {
  const commands: Command[] = [];
  const hasReaps = addCommandsForStrayTasks(commands, machine, jobs);
  addDueStops(commands, machine, nowMs);
  // Before the starts: they carry the new token already.
  if (options.raise || (hasReaps && machine.lastStartToken >= machine.fencingToken)) machine.raiseToken();
  if (options.starts) addDueStarts(commands, machine, nowMs);
  return { token: machine.fencingToken, commands };
}

/** Stops or reaps the listed tasks that are no attempt of the machine's; true when any is reaped. */
function addCommandsForStrayTasks(
  commands: Command[],
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
): boolean {
  let hasReaps = false;
  for (const status of machine.listedTasks) {
    const { jobId, task, attempt } = status;
    const job = jobs.get(jobId);
    const current = job?.attemptOf(task);
    if (current !== undefined && current.number === attempt && current.machine === machine) continue;
    if (status.phase !== "exited") {
      // Its job is finished or cancelled, or another attempt has replaced it.
      commands.push({ op: "stop", jobId, task, attempt, graceS: 0 });
    } else if (mayReap(status, job)) {
      commands.push({ op: "reap", jobId, task, attempt });
      hasReaps = true;
    }
  }
  return hasReaps;
}

/** A result is reaped only once it is durable: until then the worker's list is the only copy. */
function mayReap(status: TaskStatus, job: Job | undefined): boolean {
  if (status.cause !== "done" || !job || job.isCancelled) return true;
  return job.isDurablyDone(status.task);
}

/** Stops the attempts that have to end, and marks their stops as sent. One whose start was never sent needs none. */
function addDueStops(commands: Command[], machine: Machine, nowMs: number): void {
  for (const attempt of machine.attempts) {
    const { stop } = attempt;
    if (!stop || (attempt.sentToken < 0 && !attempt.isInherited)) continue;
    if (stop.isSent && nowMs - stop.lastSentMs < REPEAT_STOP_MS) continue;
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

/** Starts the attempts that are due, and marks their starts as sent under the machine's token and epoch. */
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
  // Intent before command: only what is durable is sent.
  if (!attempt.isDurable || attempt.stop || attempt.phase !== null || attempt.isInherited) return false;
  if (attempt.sentToken < 0) return true;
  return attempt.sentEpoch === machine.epoch && nowMs - attempt.sentMs >= REPEAT_START_MS;
}
