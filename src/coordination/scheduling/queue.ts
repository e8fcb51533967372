/**
 * The order in which waiting jobs are served: by priority, then guaranteed work before borrowing work, then so that as
 * many jobs as possible meet their targets. Three exceptions keep jobs from starving: overdue starts, jobs that have
 * waited too long, and late jobs, the last within a part of the room. Pure, but for the limits set on the entries.
 */
import { orderByDeadline } from "./deadlineOrder.js";
import { setFairShares } from "./fairShare.js";
import { byArrival, EARLY_START_TASKS, type QueueEntry, type TeamLimit } from "./queueEntry.js";

/** Jobs that may start out of turn in one cycle. */
const MAX_EARLY_JOBS = 8;
/** The part of a priority's room that late jobs may take before those that can still be on time. */
const LATE_SHARE = 0.35;
/** However much the late jobs take, the others are planned with at least this part of what the late share leaves. */
const MIN_PART_BESIDE_LATE = 0.8;

/** Cpus, or accelerators, that jobs of a priority can count on. */
export type RoomOfPriority = (priority: number, needsGpus: boolean) => number;

/** The entries in the order of service; sets their `taskLimit` and `fairShareTasks` where a limit applies. */
export function serveOrder(
  entries: QueueEntry[],
  roomOf: RoomOfPriority,
  teamLimit: TeamLimit,
): QueueEntry[] {
  const priorities = [...new Set(entries.map((entry) => entry.priority))].sort((left, right) => right - left);
  const early = earlyStarts(entries, priorities[0]);
  const order = [...early];
  for (const priority of priorities) {
    const ofPriority = entries.filter((entry) => entry.priority === priority && !early.has(entry));
    // A job must not step back for ever: those that have waited too long come first, the longest wait in front.
    order.push(...ofPriority.filter((entry) => entry.isStarving).sort(byArrival));
    for (const needsGpus of [true, false]) {
      const competitors = ofPriority.filter((entry) => !entry.isStarving && entry.needsGpus === needsGpus);
      if (competitors.length === 0) continue;
      const room = Math.max(1, roomOf(priority, needsGpus));
      order.push(...orderCompetitors(competitors, room, teamLimit));
    }
  }
  return order;
}

/**
 * Jobs of lower priorities whose start is overdue: on a full cluster they would never start. A task or two of them cost
 * the higher priorities next to nothing.
 */
function earlyStarts(entries: QueueEntry[], highestPriority = -Infinity): Set<QueueEntry> {
  const overdue = entries.filter((entry) => entry.isStartOverdue && entry.priority < highestPriority);
  const early = new Set(overdue.sort(byArrival).slice(0, MAX_EARLY_JOBS));
  for (const entry of early) entry.taskLimit = EARLY_START_TASKS;
  return early;
}

/** The order of jobs of one priority that compete for the same room. */
function orderCompetitors(entries: QueueEntry[], room: number, teamLimit: TeamLimit): QueueEntry[] {
  const late = lateJobs(entries, room * LATE_SHARE);
  if (late.length === 0) return orderByGuarantee(entries, room, teamLimit);
  // The late jobs' part of the room is not there for the others: counted twice, it would make all of them a little late.
  let roomLeft = room;
  for (const entry of late) roomLeft -= entry.demand;
  const others = entries.filter((entry) => !late.includes(entry));
  const roomOfOthers = Math.max(roomLeft, room * (1 - LATE_SHARE) * MIN_PART_BESIDE_LATE);
  return [...late, ...orderByGuarantee(others, roomOfOthers, teamLimit)];
}

/**
 * The late jobs that are served before the others, the oldest first, as far as the room reaches. Jobs that have started
 * can step back for good as well: the largest would do so again and again.
 */
function lateJobs(entries: QueueEntry[], room: number): QueueEntry[] {
  const served: QueueEntry[] = [];
  let roomLeft = room;
  for (const entry of entries.filter(({ isLate }) => isLate).sort(byArrival)) {
    if (roomLeft <= 0) break;
    // Without a limit, one large late job took most of a small deployment from all that could still be on time.
    if (entry.demand > roomLeft) {
      entry.taskLimit = Math.max(1, Math.floor((roomLeft / entry.demand) * entry.unfinishedTasks));
    }
    roomLeft -= entry.demand;
    served.push(entry);
  }
  return served;
}

/** Guaranteed jobs come first; of either kind, those that can be on time come before the others. */
function orderByGuarantee(entries: QueueEntry[], room: number, teamLimit: TeamLimit): QueueEntry[] {
  const order: QueueEntry[] = [];
  let busyS = 0;
  for (const isGuaranteed of [true, false]) {
    const alike = entries.filter((entry) => entry.isGuaranteed === isGuaranteed);
    const { onTime, remaining, endS } = orderByDeadline(alike, room, busyS);
    busyS = endS;
    order.push(...onTime);
    remaining.sort(bySize);
    setFairShares(remaining, room - totalDemand(order), teamLimit);
    order.push(...remaining);
  }
  return order;
}

/** The least work first; jobs without targets can't be late, so among them it is first come, first served. */
function bySize(left: QueueEntry, right: QueueEntry): number {
  if (left.targetsLeftS.length === 0 && right.targetsLeftS.length === 0) return byArrival(left, right);
  return left.remainingWork - right.remainingWork || byArrival(left, right);
}

function totalDemand(entries: QueueEntry[]): number {
  let demand = 0;
  for (const entry of entries) demand += entry.demand;
  return demand;
}
