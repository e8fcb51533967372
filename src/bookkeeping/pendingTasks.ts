/**
 * Owns the order in which a job's tasks are started: those that have to run again first, then those that were never
 * started, by their number. Its size does not grow with tasks that were never started.
 */
export class PendingTasks {
  /** Tasks that have to run again, the next one last. */
  private readonly requeued: number[] = [];
  /** All tasks from here on were never started. */
  private nextUnstarted = 0;

  constructor(private readonly taskCount: number) {}

  /** The task has to run again; one that was never started has its turn anyway. */
  requeue(task: number): void {
    if (task < this.nextUnstarted) this.requeued.push(task);
  }

  /** Takes the next task that may be started; null: there is none. */
  take(mayStart: (task: number) => boolean): number | null {
    while (this.requeued.length > 0) {
      const task = this.requeued.pop()!;
      if (mayStart(task)) return task;
    }
    while (this.nextUnstarted < this.taskCount) {
      const task = this.nextUnstarted++;
      if (mayStart(task)) return task;
    }
    return null;
  }
}
