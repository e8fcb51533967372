/** Selects the jobs that fall within their team's guaranteed quota: they precede borrowing jobs of the same priority. */
import type { Job } from "../../bookkeeping/workload.js";
import type { Team } from "../../settings/platform.js";
import { ROUNDING_TOLERANCE } from "./fitting.js";
import { groupBy } from "./groupBy.js";

/**
 * Returns the jobs that fall within their team's guaranteed quota. A job does if all its tasks fit into the quota together
 * with those of the team's unfinished jobs that were accepted earlier. Cancelled jobs don't count. Pure.
 */
export function jobsWithinGuarantee(jobs: Iterable<Job>, teams: Map<string, Team>): Set<Job> {
  const jobsByTeam = groupBy(
    [...jobs].filter((job) => !job.isCancelled),
    (job) => job.spec.team,
  );
  const guaranteed = new Set<Job>();
  for (const [name, teamJobs] of jobsByTeam) {
    const team = teams.get(name);
    if (team) addJobsWithinGuarantee(guaranteed, teamJobs, team);
  }
  return guaranteed;
}

function addJobsWithinGuarantee(guaranteed: Set<Job>, teamJobs: Job[], team: Team): void {
  teamJobs.sort(byAcceptance);
  let cpus = 0;
  let gpus = 0;
  for (const job of teamJobs) {
    cpus += job.spec.cpus * job.spec.tasks;
    gpus += job.spec.gpus * job.spec.tasks;
    const fitsCpus = cpus <= team.guaranteedCpus + ROUNDING_TOLERANCE;
    const fitsGpus = gpus <= team.guaranteedGpus + ROUNDING_TOLERANCE;
    if (fitsCpus && fitsGpus) guaranteed.add(job);
  }
}

function byAcceptance(left: Job, right: Job): number {
  return left.acceptedAt.getTime() - right.acceptedAt.getTime() || (left.id < right.id ? -1 : 1);
}
