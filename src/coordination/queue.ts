import type { Job } from "../bookkeeping/jobs.js";
import type { Team } from "../settings/platform.js";

/**
 * Which jobs fall within their team's guarantee: a job does if it fits into it along with the team's earlier
 * unfinished jobs. Pure.
 */
export function withinGuarantee(jobs: Iterable<Job>, teams: Map<string, Team>): Set<Job> {
  const byTeam = new Map<string, Job[]>();
  for (const job of jobs) {
    if (job.cancelled) continue;
    const list = byTeam.get(job.spec.team);
    if (list) list.push(job);
    else byTeam.set(job.spec.team, [job]);
  }
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
      if (cpus <= team.cpus + 1e-6 && gpus <= team.gpus + 1e-6) within.add(job);
    }
  }
  return within;
}

export interface QueueEntry {
  job: Job;
  guaranteed: boolean;
  /** Seconds left until the job has to be complete, less the seconds that it still needs; null: no wish. */
  slackS: number | null;
  /** Seconds it still needs once everything runs. */
  needS: number;
}

/**
 * The order in which jobs are served: priority, then guaranteed work, then those that can still be in time,
 * the least slack first; what is late already comes after them, oldest first. Pure.
 */
export function serveOrder(a: QueueEntry, b: QueueEntry): number {
  const rank = b.job.spec.priority - a.job.spec.priority;
  if (rank !== 0) return rank;
  if (a.guaranteed !== b.guaranteed) return a.guaranteed ? -1 : 1;
  const lateA = a.slackS !== null && a.slackS < 0 ? 1 : 0;
  const lateB = b.slackS !== null && b.slackS < 0 ? 1 : 0;
  if (lateA !== lateB) return lateA - lateB;
  if (a.slackS !== null && b.slackS !== null && lateA === 0 && a.slackS !== b.slackS)
    return a.slackS - b.slackS;
  return a.job.acceptedAt.getTime() - b.job.acceptedAt.getTime() || (a.job.id < b.job.id ? -1 : 1);
}
