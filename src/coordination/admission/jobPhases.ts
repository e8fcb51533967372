/** What users are told of a job's phase. */
import type { FinalRecord, JobHead } from "../../bookkeeping/records.js";
import type { JobPhase } from "../../protocol/users.js";
import type { KnownJob } from "./jobLookup.js";
import type { TaskCountTable } from "./taskCountTable.js";

/** Derives the phase of a job from its record and its published task counts. */
export class JobPhases {
  constructor(
    private readonly taskCounts: TaskCountTable,
    /**
     * Called before a user is told that a job is cancelled whose tasks may still be somewhere: the leader has to know of
     * it (rule `ran_cancelled`). Of a job that is over nothing can be anywhere, so nobody need know.
     */
    private readonly onCancellationConfirmed: (id: string, cancelledAt: Date) => void,
  ) {}

  of(job: KnownJob): JobPhase {
    return job.kind === "final" ? finalPhase(job.record) : this.livePhase(job.head);
  }

  private livePhase({ spec, cancelledAt }: JobHead): JobPhase {
    if (cancelledAt !== null) {
      this.onCancellationConfirmed(spec.id, cancelledAt);
      return "cancelled";
    }
    return this.taskCounts.of(spec.id).running > 0 ? "running" : "pending";
  }
}

function finalPhase(record: FinalRecord): JobPhase {
  return record.isCancelled ? "cancelled" : "done";
}
