/** The live jobs of a term, shared by its components. */
import type { Job } from "../../bookkeeping/workload.js";

/** Owns the live jobs that the leader has read from the state store. */
export class JobRegistry {
  private readonly jobs = new Map<string, Job>();
  private changeCount = 0;

  /** A read-only view of the jobs by id. */
  get byId(): ReadonlyMap<string, Job> {
    return this.jobs;
  }

  /** Grows whenever a job is added, removed or cancelled; values derived from the jobs must then be recomputed. */
  get revision(): number {
    return this.changeCount;
  }

  get size(): number {
    return this.jobs.size;
  }

  get(id: string): Job | undefined {
    return this.jobs.get(id);
  }

  values(): Iterable<Job> {
    return this.jobs.values();
  }

  add(job: Job): void {
    this.changeCount++;
    this.jobs.set(job.id, job);
  }

  remove(id: string): void {
    this.changeCount++;
    this.jobs.delete(id);
  }

  /** Must be called when a job is cancelled; increments `revision`. */
  recordCancellation(): void {
    this.changeCount++;
  }
}
