import type { Job } from "../../bookkeeping/workload.js";

/** Owns the set of live jobs that the term's leader knows, from their records. */
export class JobRegistry {
  private readonly jobs = new Map<string, Job>();
  private changes = 0;

  /** The jobs by their id, for decisions that look jobs up. */
  get byId(): ReadonlyMap<string, Job> {
    return this.jobs;
  }

  /** Counts jobs that come, go or are cancelled. */
  get revision(): number {
    return this.changes;
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
    this.changes++;
    this.jobs.set(job.id, job);
  }

  remove(id: string): void {
    this.changes++;
    this.jobs.delete(id);
  }

  /** A job was cancelled: what was derived from the set of jobs has to be derived again. */
  recordCancellation(): void {
    this.changes++;
  }
}
