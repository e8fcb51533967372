/** Compares a worker's heartbeat with the one that is known of it. */
import type { Heartbeat } from "../../protocol/model.js";

/** Is the heartbeat older than the known one, or the same once more? */
export function isLateCopy(known: { epoch: number; tick: number }, heartbeat: Heartbeat): boolean {
  return heartbeat.epoch < known.epoch || (heartbeat.epoch === known.epoch && heartbeat.tick <= known.tick);
}

/** Does the newer heartbeat say nothing but that the worker is alive? The leader need not get it in full then. */
export function isUnchanged(known: Heartbeat, newer: Heartbeat): boolean {
  return (
    known.epoch === newer.epoch &&
    known.fencingToken === newer.fencingToken &&
    (known.interruptionNoticeS === null) === (newer.interruptionNoticeS === null) &&
    known.address === newer.address &&
    areTasksUnchanged(known, newer)
  );
}

function areTasksUnchanged(known: Heartbeat, newer: Heartbeat): boolean {
  if (known.tasks.length !== newer.tasks.length) return false;
  for (let index = 0; index < known.tasks.length; index++) {
    const task = known.tasks[index]!;
    const other = newer.tasks[index]!;
    const isSame =
      task.phase === other.phase &&
      task.task === other.task &&
      task.jobId === other.jobId &&
      task.attempt === other.attempt;
    if (!isSame) return false;
  }
  return true;
}
