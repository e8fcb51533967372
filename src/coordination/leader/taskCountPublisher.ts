/** Publishes the progress of jobs to all controllers. The counts are for display only; no decision uses them. */
import type { Job } from "../../bookkeeping/workload.js";
import type { TaskCounts } from "../../protocol/peers/messages.js";
import type { JobRegistry } from "../term/jobRegistry.js";

/** Interval at which all counts are published, for controllers that have started in the meantime. */
const PUBLISH_ALL_INTERVAL_MS = 10_000;
/** Maximum number of jobs per message, so that a long message does not delay the messages behind it. */
const MAX_JOBS_PER_MESSAGE = 2000;

/** Publishes the numbers of done and running tasks of the jobs whose counts have changed. */
export class TaskCountPublisher {
  private readonly published = new Map<Job, { done: number; running: number }>();
  private lastAllMs = -Infinity;

  constructor(
    private readonly jobs: JobRegistry,
    private readonly send: (counts: TaskCounts[]) => void,
  ) {}

  /** Sends the counts that have changed since the last call, and all of them every `PUBLISH_ALL_INTERVAL_MS`. */
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
