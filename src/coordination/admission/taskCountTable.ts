/** How far live jobs are, as the leader publishes it: for display only. */
import type { TaskCounts } from "../../protocol/peers/messages.js";

const MAX_JOBS = 5000;

/** The latest task counts of live jobs. Bounded: nobody says here that a job is over, so the oldest make room. */
export class TaskCountTable {
  private readonly counts = new Map<string, TaskCounts>();

  update(jobs: TaskCounts[]): void {
    for (const job of jobs) this.counts.set(job.id, job);
    while (this.counts.size > MAX_JOBS) this.counts.delete(this.counts.keys().next().value!);
  }

  /** Zeros for a job of which nothing has been published. */
  of(id: string): { done: number; running: number } {
    return this.counts.get(id) ?? { done: 0, running: 0 };
  }

  /** The job is over. */
  delete(id: string): void {
    this.counts.delete(id);
  }
}
