/**
 * The scheduling order of the waiting jobs: by priority, then guaranteed work before borrowing work, then so that as many
 * jobs as possible meet their targets. Three exceptions prevent starvation: jobs with an overdue start, starving jobs, and
 * late jobs, which get a limited share of the capacity. Pure, except that it sets limits on the entries.
 */
import { orderByDeadline } from "./deadlineOrder.js";
import { setFairShares } from "./fairShare.js";
import { byArrival, EARLY_START_TASKS, type QueueEntry, type TeamLimit } from "./queueEntry.js";

/** The maximum number of jobs that one cycle puts ahead of higher priorities because their start is overdue. */
const MAX_EARLY_JOBS = 8;
/** The share of the capacity for a priority that late jobs may take ahead of jobs that can still be on time. */
const LATE_CAPACITY_SHARE = 0.35;
/** The other jobs are planned with at least this fraction of the capacity beyond the late jobs' share. */
const MIN_OTHERS_FRACTION = 0.8;

/** Returns the CPUs, or the GPUs if `needsGpus`, that jobs of a priority can use. */
export type CapacityOfPriority = (priority: number, needsGpus: boolean) => number;

/** Returns the entries in scheduling order. Sets their `taskLimit` and `fairShareTasks` where a limit applies. */
export function schedulingOrder(
  entries: QueueEntry[],
  capacityOf: CapacityOfPriority,
  teamLimit: TeamLimit,
): QueueEntry[] {
  const priorities = [...new Set(entries.map((entry) => entry.priority))].sort((left, right) => right - left);
  const early = earlyStarts(entries, priorities[0]);
  const order = [...early];
  for (const priority of priorities) {
    const samePriority = entries.filter((entry) => entry.priority === priority && !early.has(entry));
    // Starving jobs precede the others in order of acceptance, so that no job is postponed for ever.
    order.push(...samePriority.filter((entry) => entry.isStarving).sort(byArrival));
    for (const needsGpus of [true, false]) {
      const competitors = samePriority.filter((entry) => !entry.isStarving && entry.needsGpus === needsGpus);
      if (competitors.length === 0) continue;
      const capacity = Math.max(1, capacityOf(priority, needsGpus));
      order.push(...orderCompetitors(competitors, capacity, teamLimit));
    }
  }
  return order;
}

/**
 * Returns the jobs of lower priorities with an overdue start, limited to a few tasks each. They would never start on a
 * full cluster, and a task or two of them cost the higher priorities next to nothing.
 */
function earlyStarts(entries: QueueEntry[], highestPriority = -Infinity): Set<QueueEntry> {
  const overdue = entries.filter((entry) => entry.isStartOverdue && entry.priority < highestPriority);
  const early = new Set(overdue.sort(byArrival).slice(0, MAX_EARLY_JOBS));
  for (const entry of early) entry.taskLimit = EARLY_START_TASKS;
  return early;
}

/** Orders jobs of one priority that compete for the same kind of capacity. */
function orderCompetitors(entries: QueueEntry[], capacity: number, teamLimit: TeamLimit): QueueEntry[] {
  const late = lateJobs(entries, capacity * LATE_CAPACITY_SHARE);
  if (late.length === 0) return orderByGuarantee(entries, capacity, teamLimit);
  // The others are planned without the late jobs' capacity: counted twice, it would make all of them slightly late.
  let remainingCapacity = capacity;
  for (const entry of late) remainingCapacity -= entry.demand;
  const others = entries.filter((entry) => !late.includes(entry));
  const capacityOfOthers = Math.max(
    remainingCapacity,
    capacity * (1 - LATE_CAPACITY_SHARE) * MIN_OTHERS_FRACTION,
  );
  return [...late, ...orderByGuarantee(others, capacityOfOthers, teamLimit)];
}

/**
 * Returns the late jobs that precede the others, in order of acceptance, until their demand reaches `capacity`. Jobs that
 * have started can starve as well: the deadline order would postpone the largest job again and again.
 */
function lateJobs(entries: QueueEntry[], capacity: number): QueueEntry[] {
  const selected: QueueEntry[] = [];
  let remainingCapacity = capacity;
  for (const entry of entries.filter(({ isLate }) => isLate).sort(byArrival)) {
    if (remainingCapacity <= 0) break;
    // Without a limit, one large late job took most of a small cluster from all jobs that could still be on time.
    if (entry.demand > remainingCapacity) {
      entry.taskLimit = Math.max(1, Math.floor((remainingCapacity / entry.demand) * entry.unfinishedTasks));
    }
    remainingCapacity -= entry.demand;
    selected.push(entry);
  }
  return selected;
}

/** Orders guaranteed jobs before borrowing ones, and within each group the jobs that can be on time before the others. */
function orderByGuarantee(entries: QueueEntry[], capacity: number, teamLimit: TeamLimit): QueueEntry[] {
  const order: QueueEntry[] = [];
  let busyUntilS = 0;
  for (const isGuaranteed of [true, false]) {
    const group = entries.filter((entry) => entry.isGuaranteed === isGuaranteed);
    const { onTime, remaining, endS } = orderByDeadline(group, capacity, busyUntilS);
    busyUntilS = endS;
    order.push(...onTime);
    remaining.sort(byRemainingWork);
    setFairShares(remaining, capacity - totalDemand(order), teamLimit);
    order.push(...remaining);
  }
  return order;
}

/** Compares by remaining work, least first; jobs without targets can't be late and are compared by arrival. */
function byRemainingWork(left: QueueEntry, right: QueueEntry): number {
  if (left.timeToTargetsS.length === 0 && right.timeToTargetsS.length === 0) return byArrival(left, right);
  return left.remainingWork - right.remainingWork || byArrival(left, right);
}

function totalDemand(entries: QueueEntry[]): number {
  let demand = 0;
  for (const entry of entries) demand += entry.demand;
  return demand;
}
