/** Progress of jobs for display at all controllers; nothing relies on it. */
import type { Job } from "../../bookkeeping/workload.js";
import type { TaskCounts } from "../../protocol/peers/messages.js";
import type { JobRegistry } from "../term/jobRegistry.js";

/** All counts are published this often, for a controller that has started in between. */
const PUBLISH_ALL_INTERVAL_MS = 10_000;
/** More jobs than this go into several messages, so that none of them holds up what waits behind it. */
const MAX_JOBS_PER_MESSAGE = 2000;

/** Publishes how many tasks of each job are done and running, for display only: what has changed since the last time. */
export class TaskCountPublisher {
  private readonly published = new Map<Job, { done: number; running: number }>();
  private lastAllMs = -Infinity;

  constructor(
    private readonly jobs: JobRegistry,
    private readonly send: (counts: TaskCounts[]) => void,
  ) {}

  /** Sends the counts that have changed since the last call; from time to time all of them. */
  publish(nowMs: number): void {
    if (nowMs - this.lastAllMs > PUBLISH_ALL_INTERVAL_MS) {
      this.lastAllMs = nowMs;
      this.published.clear();
    }
    const changed = this.changedCounts();
    for (let from = 0; from < changed.length; from += MAX_JOBS_PER_MESSAGE)
      this.send(changed.slice(from, from + MAX_JOBS_PER_MESSAGE));
  }

  private changedCounts(): TaskCounts[] {
    const changed: TaskCounts[] = [];
    for (const job of this.jobs.values()) {
      const done = job.doneCount;
      const running = job.runningCount();
      const published = this.published.get(job);
      if (published && published.done === done && published.running === running) continue;
      this.published.set(job, { done, running });
      changed.push({ id: job.id, done, running });
    }
    return changed;
  }
}
