/** The progress of live jobs as published by the leader, for display only. */
import type { TaskCounts } from "../../protocol/peers/messages.js";

const MAX_JOBS = 5000;

/**
 * The latest task counts of live jobs. No message reports that a job has finished, and a job may finish without a query
 * here, so the table is bounded: the job that was added first is evicted first.
 */
export class TaskCountTable {
  private readonly counts = new Map<string, TaskCounts>();

  update(jobs: TaskCounts[]): void {
    for (const job of jobs) this.counts.set(job.id, job);
    while (this.counts.size > MAX_JOBS) this.counts.delete(this.counts.keys().next().value!);
  }

  /** The job's task counts; zeros if none have been published. */
  get(id: string): { done: number; running: number } {
    return this.counts.get(id) ?? { done: 0, running: 0 };
  }

  /** Removes a job whose final record has been read. */
  delete(id: string): void {
    this.counts.delete(id);
  }
}
