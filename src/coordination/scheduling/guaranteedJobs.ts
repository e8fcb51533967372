/** Cache of the jobs within their team's guaranteed quota, which stays valid while the set of live jobs is unchanged. */
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Job } from "../../bookkeeping/workload.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import { jobsWithinGuarantee } from "./guarantee.js";

/** Owns the set of jobs within their team's guaranteed quota, and recomputes it only when the set of jobs has changed. */
export class GuaranteedJobs {
  private revision = -1;
  private guaranteed: ReadonlySet<Job> = new Set();

  constructor(
    private readonly jobs: JobRegistry,
    private readonly usage: QuotaUsage,
  ) {}

  /** Returns the guaranteed jobs at this moment. The returned set is never modified later. */
  current(): ReadonlySet<Job> {
    if (this.revision !== this.jobs.revision) {
      this.revision = this.jobs.revision;
      this.guaranteed = jobsWithinGuarantee(this.jobs.values(), this.usage.teams);
    }
    return this.guaranteed;
  }
}
