/** Large arrays without targets share the room that their team has, so that none of them waits for all others. */
import { groupBy } from "./groupBy.js";
import { EARLY_START_TASKS, type QueueEntry, type TeamLimit } from "./queueEntry.js";

/** An array that would take its team's share of the room for longer than this many seconds has to share it. */
const LARGE_ARRAY_S = 60;
/** A single large array has nobody to share with. */
const MIN_SHARING_ARRAYS = 2;

/**
 * Sets the fair shares of large arrays without targets. Nothing says which of a team's should be over first, so each gets
 * its part of the room before any gets more, and none waits until all that came before it is over. Small arrays are left
 * in the order of arrival: divided, all of them would end late.
 */
export function setFairShares(entries: QueueEntry[], room: number, teamLimit: TeamLimit): void {
  const arrays = entries.filter(
    (entry) => entry.job.spec.kind === "array" && entry.targetsLeftS.length === 0,
  );
  const arraysByTeam = groupBy(arrays, (entry) => entry.job.spec.team);
  for (const [team, teamArrays] of arraysByTeam) {
    const equalShare = Math.max(0, room) / arraysByTeam.size;
    const teamShare = Math.min(equalShare, teamLimit(team, teamArrays[0]!.needsGpus));
    const large = teamArrays.filter((entry) => totalWork(entry) > teamShare * LARGE_ARRAY_S);
    if (large.length < MIN_SHARING_ARRAYS) continue;
    for (const entry of large) {
      const tasks = Math.floor((teamShare / large.length / entry.demand) * entry.unfinishedTasks);
      entry.fairShareTasks = Math.max(EARLY_START_TASKS, tasks);
    }
  }
}

/** Cpu (or accelerator) seconds of all its tasks, done or not: a large array stays large until it is over. */
function totalWork(entry: QueueEntry): number {
  const { spec } = entry.job;
  return (spec.gpus || spec.cpus) * spec.tasks * entry.taskS;
}
