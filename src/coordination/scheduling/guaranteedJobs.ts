/** The guaranteed jobs, kept from cycle to cycle while the set of jobs stays the same. */
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Job } from "../../bookkeeping/workload.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import { jobsWithinGuarantee } from "./guarantee.js";

/** Owns the set of jobs that fall within their team's guarantee; derived again only when the set of jobs has changed. */
export class GuaranteedJobs {
  private revision = -1;
  private guaranteed: ReadonlySet<Job> = new Set();

  constructor(
    private readonly jobs: JobRegistry,
    private readonly usage: QuotaUsage,
  ) {}

  /** The guaranteed jobs as of now; never changed afterwards. */
  current(): ReadonlySet<Job> {
    if (this.revision !== this.jobs.revision) {
      this.revision = this.jobs.revision;
      this.guaranteed = jobsWithinGuarantee(this.jobs.values(), this.usage.teams);
    }
    return this.guaranteed;
  }
}
