/** Fair shares of a team's large arrays without targets, so that none of them waits until all others are complete. */
import { groupBy } from "./groupBy.js";
import { EARLY_START_TASKS, type QueueEntry, type TeamLimit } from "./queueEntry.js";

/** An array is large if all its tasks would occupy its team's share of the capacity for longer than this many seconds. */
const LARGE_ARRAY_S = 60;
/** Fair shares apply to at least this many large arrays of a team: a single one may use the whole share. */
const MIN_SHARING_ARRAYS = 2;

/**
 * Sets the fair shares of large arrays without targets. No target says which of a team's arrays should end first, so each
 * one gets an equal part of the team's share before any gets more, instead of waiting for all arrays accepted before it.
 * Small arrays are left in the order of arrival: if they shared the capacity, all of them would end late.
 */
export function setFairShares(entries: QueueEntry[], capacity: number, teamLimit: TeamLimit): void {
  const arrays = entries.filter(
    (entry) => entry.job.spec.kind === "array" && entry.timeToTargetsS.length === 0,
  );
  const arraysByTeam = groupBy(arrays, (entry) => entry.job.spec.team);
  for (const [team, teamArrays] of arraysByTeam) {
    const equalShare = Math.max(0, capacity) / arraysByTeam.size;
    const teamShare = Math.min(equalShare, teamLimit(team, teamArrays[0]!.needsGpus));
    const largeArrays = teamArrays.filter((entry) => totalWork(entry) > teamShare * LARGE_ARRAY_S);
    if (largeArrays.length < MIN_SHARING_ARRAYS) continue;
    for (const entry of largeArrays) {
      const tasks = Math.floor((teamShare / largeArrays.length / entry.demand) * entry.unfinishedTasks);
      entry.fairShareTasks = Math.max(EARLY_START_TASKS, tasks);
    }
  }
}

/** CPU (or GPU) seconds of all tasks of a job, done or not, so that a large array stays large until it is complete. */
function totalWork(entry: QueueEntry): number {
  const { spec } = entry.job;
  return (spec.gpus || spec.cpus) * spec.tasks * entry.taskRunTimeS;
}
