/** Compares a worker's heartbeat with the newest known one of the same worker. */
import type { Heartbeat } from "../../protocol/model.js";

/** Whether the heartbeat is older than the known one, or a duplicate of it. */
export function isStaleOrDuplicate(known: { epoch: number; tick: number }, heartbeat: Heartbeat): boolean {
  return heartbeat.epoch < known.epoch || (heartbeat.epoch === known.epoch && heartbeat.tick <= known.tick);
}

/** Whether the newer heartbeat only shows that the worker is alive, so that the leader does not need it in full. */
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
