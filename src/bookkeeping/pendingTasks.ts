/**
 * The order in which a job's tasks are started: requeued tasks first, then tasks that were never started, by number.
 * Its memory use does not grow with the number of tasks that were never started.
 */
export class PendingTasks {
  /** Tasks that have to run again; the last element is taken first. */
  private readonly requeued: number[] = [];
  /** Lowest task number of those that were never started. */
  private nextUnstarted = 0;

  constructor(private readonly taskCount: number) {}

  /** Queues a task to run again; a task that was never started keeps its place in the order. */
  requeue(task: number): void {
    if (task < this.nextUnstarted) this.requeued.push(task);
  }

  /** Takes the next task that `mayStart` accepts, skipping the others; null if there is none. */
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
