import { groupBy } from "./groupBy.js";
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective, Team } from "../../settings/platform.js";

/**
 * Which jobs fall within their team's guarantee: a job does if it fits into it along with the team's earlier
 * unfinished jobs. Pure.
 */
export function jobsWithinGuarantee(jobs: Iterable<Job>, teams: Map<string, Team>): Set<Job> {
  const byTeam = groupBy(
    [...jobs].filter((job) => !job.isCancelled),
    (job) => job.spec.team,
  );
  const within = new Set<Job>();
  for (const [name, list] of byTeam) {
    const team = teams.get(name);
    if (!team) continue;
    list.sort((a, b) => a.acceptedAt.getTime() - b.acceptedAt.getTime() || (a.id < b.id ? -1 : 1));
    let cpus = 0;
    let gpus = 0;
    for (const job of list) {
      cpus += job.spec.cpus * job.spec.tasks;
      gpus += job.spec.gpus * job.spec.tasks;
      if (cpus <= team.guaranteedCpus + 1e-6 && gpus <= team.guaranteedGpus + 1e-6) within.add(job);
    }
  }
  return within;
}

export interface QueueEntry {
  job: Job;
  id: string;
  priority: number;
  isGuaranteed: boolean;
  /** Works on accelerators: it shares room with its like only. */
  needsGpus: boolean;
  /** Nothing of it has begun for too long, however small what passed it was. */
  isStarving: boolean;
  /** Nothing of it has begun for so long that it soon has to, whatever its priority. */
  isStartOverdue: boolean;
  /** Most of its class's loosest target is over, and it isn't done. */
  isLate: boolean;
  /**
   * Tasks that it may have running before its like have their part of the room; Infinity: it is not shared. Set by
   * `serveOrder`.
   */
  fairShareTasks: number;
  /** Tasks that it may have running: what is late keeps to its part of the room. Set by `serveOrder`. */
  taskLimit: number;
  /** Seconds from now at which it should be complete, the nearest target first; later targets are looser. */
  targetsLeftS: number[];
  /** Seconds that a single task of it still takes. */
  taskS: number;
  /** Tasks without a result. */
  unfinishedTasks: number;
  /** Cpus, or accelerators, that all that is left of it would take at once. */
  demand: number;
  /** What is left to do, in cpu seconds. */
  remainingWork: number;
  /** When it was accepted, for what nothing else decides. */
  acceptedAtMs: number;
}

/** Seconds from submission at which a job should be complete, by its own deadline or its class's objectives. */
export function completionTargetsS(
  className: string,
  deadlineS: number | null,
  objectives: Objective[],
): number[] {
  const targets = new Set<number>();
  if (deadlineS !== null) targets.add(deadlineS);
  for (const objective of objectives) {
    if (objective.className !== className) continue;
    if (objective.kind === "deadline" && deadlineS !== null) targets.add(deadlineS * objective.times);
    if (objective.kind === "finished" && objective.withinS !== null) targets.add(objective.withinS);
  }
  return [...targets].sort((a, b) => a - b);
}

/** Jobs that begin out of turn in one cycle, each with so many tasks. */
const MAX_EARLY_JOBS = 8;
export const EARLY_START_TASKS = 2;
/** The largest jobs have to begin within four minutes, whatever their priority: overdue from here on, in seconds. */
export const OVERDUE_S = 150;
/** An array that would take all the room for longer than this shares it with its like. */
const SHARED_FROM_S = 60;
/** Of a priority's room, what is late may take so much before those who can still be in time. */
const LATE_SHARE = 0.35;

/**
 * The order in which jobs are served: priority, then guaranteed work, then as many jobs as can be in time.
 * `roomOf` is the room that each priority has for what it is offered, `teamLimit` what a team may use of it at most.
 *
 * With less room than work, "least time left first" makes everybody a little late. So the jobs are taken by due
 * time, and whenever they don't fit, the largest of them steps back (Moore and Hodgson): it costs one job its
 * target, and the others keep theirs. Those that stepped back are tried again at their next, looser target; what can't
 * meet any comes last, the smallest first. Pure.
 */
export function serveOrder(
  entries: QueueEntry[],
  roomOf: (priority: number, gpus: boolean) => number,
  teamLimit: (team: string, gpus: boolean) => number,
): QueueEntry[] {
  const out: QueueEntry[] = [];
  const ranks = [...new Set(entries.map((e) => e.priority))].sort((a, b) => b - a);
  // On a full cluster a lower priority would never begin. A task or two cost those above it next to nothing.
  const begins = new Set(
    entries
      .filter((e) => e.isStartOverdue && e.priority < ranks[0]!)
      .sort(bySince)
      .slice(0, MAX_EARLY_JOBS),
  );
  for (const e of begins) e.taskLimit = EARLY_START_TASKS;
  out.push(...begins);
  for (const rank of ranks) {
    const ranked = entries.filter((e) => e.priority === rank && !begins.has(e));
    // Stepping back has an end: who has waited too long comes first, the longest wait before the others.
    out.push(...ranked.filter((e) => e.isStarving).sort(bySince));
    for (const gpus of [true, false]) {
      const like = ranked.filter((e) => !e.isStarving && e.needsGpus === gpus);
      if (like.length === 0) continue;
      const room = Math.max(1, roomOf(rank, gpus));
      const first = lateFirst(like, room * LATE_SHARE);
      if (first.length === 0) {
        out.push(...inRank(like, room, teamLimit));
        continue;
      }
      // Counted on twice, that part of the room would make everybody else a little late.
      let left = room;
      for (const e of first) left -= e.demand;
      const rest = like.filter((e) => !first.includes(e));
      out.push(...first, ...inRank(rest, Math.max(left, room * (1 - LATE_SHARE) * 0.8), teamLimit));
    }
  }
  return out;
}

/**
 * Who has begun may have stepped back for good as well: the largest jobs, again and again. So what is late goes on
 * before the others, the oldest first, in a part of the room; the rest stays with those who can be in time.
 */
function lateFirst(entries: QueueEntry[], room: number): QueueEntry[] {
  const out: QueueEntry[] = [];
  let left = room;
  for (const entry of entries.filter((e) => e.isLate).sort(bySince)) {
    if (left <= 0) break;
    // Uncapped, one large late job took most of a small deployment from all who could still be in time.
    if (entry.demand > left)
      entry.taskLimit = Math.max(1, Math.floor((left / entry.demand) * entry.unfinishedTasks));
    left -= entry.demand;
    out.push(entry);
  }
  return out;
}

function bySince(a: QueueEntry, b: QueueEntry): number {
  return a.acceptedAtMs - b.acceptedAtMs || (a.id < b.id ? -1 : 1);
}

/** `room` is shared by the guaranteed, who come first, and the others. */
function inRank(
  entries: QueueEntry[],
  room: number,
  teamLimit: (team: string, gpus: boolean) => number,
): QueueEntry[] {
  const out: QueueEntry[] = [];
  let busyS = 0;
  for (const guaranteed of [true, false]) {
    let left = entries.filter((e) => e.isGuaranteed === guaranteed);
    const levels = Math.max(0, ...left.map((e) => e.targetsLeftS.length));
    for (let level = 0; level < levels; level++) {
      const { kept, dropped, endS } = inTime(left, level, room, busyS);
      out.push(...kept);
      left = dropped;
      busyS = endS;
    }
    left.sort(bySize);
    shareRoom(left, room - out.reduce((sum, e) => sum + e.demand, 0), teamLimit);
    out.push(...left);
  }
  return out;
}

/**
 * Without targets nothing says which of a team's large arrays should be over first: each gets its part of the room before
 * any gets more, so that none waits until all that came before it is over. Small ones go in order of arrival: divided,
 * all of them would end late.
 */
function shareRoom(
  entries: QueueEntry[],
  room: number,
  teamLimit: (team: string, gpus: boolean) => number,
): void {
  const arrays = entries.filter((e) => e.job.spec.kind === "array" && e.targetsLeftS.length === 0);
  const byTeam = groupBy(arrays, (e) => e.job.spec.team);
  for (const [team, list] of byTeam) {
    const part = Math.min(Math.max(0, room) / byTeam.size, teamLimit(team, list[0]!.needsGpus));
    const large = list.filter((entry) => wholeWork(entry) > part * SHARED_FROM_S);
    if (large.length < 2) continue;
    for (const entry of large) {
      const tasks = Math.floor((part / large.length / entry.demand) * entry.unfinishedTasks);
      entry.fairShareTasks = Math.max(EARLY_START_TASKS, tasks);
    }
  }
}

/** What all of its tasks take, done or not, in cpu seconds: what is large stays so until it is over. */
function wholeWork(entry: QueueEntry): number {
  const { spec } = entry.job;
  return (spec.gpus || spec.cpus) * spec.tasks * entry.taskS;
}

function bySize(a: QueueEntry, b: QueueEntry): number {
  // Without targets there is nothing to be in time for: first come, first served.
  if (a.targetsLeftS.length === 0 && b.targetsLeftS.length === 0) return bySince(a, b);
  return a.remainingWork - b.remainingWork || bySince(a, b);
}

function inTime(
  entries: QueueEntry[],
  level: number,
  room: number,
  startS: number,
): { kept: QueueEntry[]; dropped: QueueEntry[]; endS: number } {
  const kept: QueueEntry[] = [];
  const dropped: QueueEntry[] = [];
  const due = (e: QueueEntry): number => e.targetsLeftS[level] ?? -Infinity;
  const sorted = [...entries].sort((a, b) => due(a) - due(b) || bySince(a, b));
  let endS = startS;
  for (const entry of sorted) {
    if (entry.taskS > due(entry)) {
      dropped.push(entry);
      continue;
    }
    kept.push(entry);
    endS += entry.remainingWork / room;
    if (Math.max(endS, entry.taskS) <= due(entry)) continue;
    let largest = 0;
    for (let i = 1; i < kept.length; i++)
      if (kept[i]!.remainingWork > kept[largest]!.remainingWork) largest = i;
    const [out] = kept.splice(largest, 1);
    dropped.push(out!);
    endS -= out!.remainingWork / room;
  }
  return { kept, dropped, endS };
}
