/** The phase of a job that is reported to users. */
import type { FinalRecord, JobHead } from "../../bookkeeping/records.js";
import type { JobPhase } from "../../protocol/users.js";
import type { KnownJob } from "./jobLookup.js";
import type { TaskCountTable } from "./taskCountTable.js";

/** Derives the phase of a job from its record and from the task counts that the leader publishes. */
export class JobPhases {
  constructor(
    private readonly taskCounts: TaskCountTable,
    /**
     * Called before the cancellation of a live job is reported to a user. Its tasks may still run, so the leader has to
     * learn of the confirmation (rule `ran_cancelled`); a finished job has no tasks left, and needs no such report.
     */
    private readonly onCancellationConfirmed: (id: string, cancelledAt: Date) => void,
  ) {}

  phaseOf(job: KnownJob): JobPhase {
    return job.kind === "final" ? finalPhase(job.record) : this.livePhase(job.head);
  }

  private livePhase({ spec, cancelledAt }: JobHead): JobPhase {
    if (cancelledAt !== null) {
      this.onCancellationConfirmed(spec.id, cancelledAt);
      return "cancelled";
    }
    return this.taskCounts.get(spec.id).running > 0 ? "running" : "pending";
  }
}

function finalPhase(record: FinalRecord): JobPhase {
  return record.isCancelled ? "cancelled" : "done";
}
