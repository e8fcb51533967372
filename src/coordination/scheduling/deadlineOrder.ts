/**
 * Minimizes the number of jobs that miss their targets (Moore-Hodgson algorithm). When there is more work than capacity,
 * earliest due date first can make every job slightly late. This algorithm adds jobs in order of their due time, and
 * whenever the job added last would be late, it removes the largest job added so far: that job misses its target, and the
 * others meet theirs. Pure.
 */
import { byArrival, type QueueEntry } from "./queueEntry.js";

/** The jobs that are expected to meet a target, in scheduling order, and the remaining jobs. */
export interface DeadlineOrder {
  onTime: QueueEntry[];
  /** The other jobs, in no particular order. */
  remaining: QueueEntry[];
  /** Seconds from now until all jobs of `onTime` are expected to be complete. */
  endS: number;
}

/**
 * Orders the jobs that can meet a target on `capacity` CPUs (or GPUs) that become free `startS` seconds from now. A job
 * that can't meet its nearest target is considered again for its next, later one.
 */
export function orderByDeadline(entries: QueueEntry[], capacity: number, startS: number): DeadlineOrder {
  const result: DeadlineOrder = { onTime: [], remaining: entries, endS: startS };
  const levels = Math.max(0, ...entries.map((entry) => entry.timeToTargetsS.length));
  for (let level = 0; level < levels; level++) {
    const { onTime, remaining, endS } = orderByTarget(result.remaining, level, capacity, result.endS);
    result.onTime.push(...onTime);
    result.remaining = remaining;
    result.endS = endS;
  }
  return result;
}

/** Orders the jobs that can meet their target of one level. Level 0 is each job's nearest target. */
function orderByTarget(
  entries: QueueEntry[],
  level: number,
  capacity: number,
  startS: number,
): DeadlineOrder {
  const onTime: QueueEntry[] = [];
  const remaining: QueueEntry[] = [];
  let endS = startS;
  const byDueTime = [...entries].sort(
    (left, right) => dueInS(left, level) - dueInS(right, level) || byArrival(left, right),
  );
  for (const entry of byDueTime) {
    const dueS = dueInS(entry, level);
    if (entry.taskRunTimeS > dueS) {
      remaining.push(entry);
      continue;
    }
    onTime.push(entry);
    endS += entry.remainingWork / capacity;
    if (Math.max(endS, entry.taskRunTimeS) <= dueS) continue;
    const largest = removeLargest(onTime);
    remaining.push(largest);
    endS -= largest.remainingWork / capacity;
  }
  return { onTime, remaining, endS };
}

/** Returns the seconds until the target of that level; -Infinity for a job without one, which thus counts as late. */
function dueInS(entry: QueueEntry, level: number): number {
  return entry.timeToTargetsS[level] ?? -Infinity;
}

/** Removes and returns the entry with the most remaining work, the first of equals. The list must not be empty. */
function removeLargest(entries: QueueEntry[]): QueueEntry {
  let largestIndex = 0;
  for (let index = 1; index < entries.length; index++) {
    if (entries[index]!.remainingWork > entries[largestIndex]!.remainingWork) largestIndex = index;
  }
  return entries.splice(largestIndex, 1)[0]!;
}
