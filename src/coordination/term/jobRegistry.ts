/** The live jobs of a term, shared by its parts. */
import type { Job } from "../../bookkeeping/workload.js";

/** Owns the set of live jobs that the term's leader knows from their records. */
export class JobRegistry {
  private readonly jobs = new Map<string, Job>();
  private changeCount = 0;

  /** The jobs by their id, for decisions that look jobs up. */
  get byId(): ReadonlyMap<string, Job> {
    return this.jobs;
  }

  /** Grows whenever a job is added, removed or cancelled: what was derived from the set then has to be derived again. */
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

  /** A job in the set was cancelled. */
  recordCancellation(): void {
    this.changeCount++;
  }
}
