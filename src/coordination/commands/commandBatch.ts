import type { Command } from "../../protocol/model.js";
import type { Job, Machine } from "../../bookkeeping/workload.js";

export interface CommandBatch {
  token: number;
  commands: Command[];
}

/** Time that a start sent straight to a worker is given before the next report's answer repeats it. */
const REPEAT_START_MS = 1200;
const REPEAT_STOP_MS = 600;

/**
 * What a worker has to be told now, and under which token. Called right before sending: it notes what is sent.
 *
 * After a `reap` the worker has forgotten the attempt, and a copy of its start still on the way would run it
 * again (rule `ran_twice`). So a batch that reaps carries a token above that of every start sent before:
 * whatever is still on the way is refused from then on.
 */
export function composeCommandBatch(
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
  nowMs: number,
  options: { starts: boolean; raise: boolean },
): CommandBatch {
  const commands: Command[] = [];
  let reaps = false;
  for (const t of machine.listedTasks) {
    const { jobId, task, attempt } = t;
    const job = jobs.get(jobId);
    const a = job?.attemptOf(task);
    const ours = a !== undefined && a.number === attempt && a.machine === machine;
    if (ours) continue;
    if (t.phase !== "exited") {
      // Nobody's: its job is over, or another attempt has taken its place.
      commands.push({ op: "stop", jobId, task, attempt, graceS: 0 });
      continue;
    }
    // A result is reaped only once it is durable.
    if (t.cause === "done" && job && !job.isCancelled && !job.isDurablyDone(task)) continue;
    commands.push({ op: "reap", jobId, task, attempt });
    reaps = true;
  }
  for (const a of machine.attempts) {
    if (a.stop && (a.sentToken >= 0 || a.isInherited)) {
      if (a.stop.sent && nowMs - a.stop.lastSentMs < REPEAT_STOP_MS) continue;
      a.stop.sent = true;
      a.stop.lastSentMs = nowMs;
      commands.push({ op: "stop", jobId: a.job.id, task: a.task, attempt: a.number, graceS: a.stop.graceS });
    }
  }
  if (options.raise || (reaps && machine.lastStartToken >= machine.fencingToken))
    machine.fencingToken = Math.max(machine.fencingToken, machine.lastStartToken) + 1;
  if (options.starts) {
    for (const a of machine.attempts) {
      // Intent before command: only what is durable is sent.
      if (!a.isDurable || a.stop || a.phase !== null || a.isInherited) continue;
      if (a.sentToken >= 0 && (a.sentEpoch !== machine.epoch || nowMs - a.sentMs < REPEAT_START_MS)) continue;
      a.sentToken = machine.fencingToken;
      a.sentEpoch = machine.epoch;
      a.sentMs = nowMs;
      machine.lastStartToken = machine.fencingToken;
      commands.push({ op: "start", jobId: a.job.id, task: a.task, attempt: a.number });
    }
  }
  return { token: machine.fencingToken, commands };
}
