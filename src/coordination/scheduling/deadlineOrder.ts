/**
 * Which jobs can meet their targets, and in which order (Moore and Hodgson's algorithm). With less room than work, "least
 * time left first" makes every job a little late. So the jobs are taken by due time, and whenever one would be late, the
 * largest of those taken steps back: one job misses its target, and the others keep theirs. Pure.
 */
import { byArrival, type QueueEntry } from "./queueEntry.js";

/** A split of jobs into those that meet their targets, in the order of service, and the others. */
export interface DeadlineOrder {
  onTime: QueueEntry[];
  /** In no particular order. */
  remaining: QueueEntry[];
  /** Seconds from now at which those on time are done. */
  endS: number;
}

/**
 * Orders the jobs that can be on time in `room` cpus (or accelerators) that are free `startS` seconds from now. Jobs that
 * step back from their nearest target are tried again at their next, looser one.
 */
export function orderByDeadline(entries: QueueEntry[], room: number, startS: number): DeadlineOrder {
  const result: DeadlineOrder = { onTime: [], remaining: entries, endS: startS };
  const levels = Math.max(0, ...entries.map((entry) => entry.targetsLeftS.length));
  for (let level = 0; level < levels; level++) {
    const { onTime, remaining, endS } = orderByTarget(result.remaining, level, room, result.endS);
    result.onTime.push(...onTime);
    result.remaining = remaining;
    result.endS = endS;
  }
  return result;
}

/** The same for one level of targets: 0 is each job's nearest. */
function orderByTarget(entries: QueueEntry[], level: number, room: number, startS: number): DeadlineOrder {
  const onTime: QueueEntry[] = [];
  const remaining: QueueEntry[] = [];
  let endS = startS;
  const byDueTime = [...entries].sort(
    (left, right) => dueInS(left, level) - dueInS(right, level) || byArrival(left, right),
  );
  for (const entry of byDueTime) {
    const dueS = dueInS(entry, level);
    if (entry.taskS > dueS) {
      remaining.push(entry);
      continue;
    }
    onTime.push(entry);
    endS += entry.remainingWork / room;
    if (Math.max(endS, entry.taskS) <= dueS) continue;
    const largest = removeLargest(onTime);
    remaining.push(largest);
    endS -= largest.remainingWork / room;
  }
  return { onTime, remaining, endS };
}

/** A job without a target of that level can't meet it. */
function dueInS(entry: QueueEntry, level: number): number {
  return entry.targetsLeftS[level] ?? -Infinity;
}

/** Takes the entry with the most work left out of a list that is not empty; of equals, the first. */
function removeLargest(entries: QueueEntry[]): QueueEntry {
  let largest = 0;
  for (let index = 1; index < entries.length; index++) {
    if (entries[index]!.remainingWork > entries[largest]!.remainingWork) largest = index;
  }
  return entries.splice(largest, 1)[0]!;
}
