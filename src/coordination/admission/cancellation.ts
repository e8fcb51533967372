/** Cancels jobs. "Cancelled" is committed before it is said (rule `ran_cancelled`). */
import { encodeHead, keys, type JobHead } from "../../bookkeeping/records.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import { isJobId } from "../../protocol/users.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import type { JobLookup } from "./jobLookup.js";
import type { JobPhases } from "./jobPhases.js";
import { CHANGE_TIMEOUT_MS } from "./timeouts.js";
import {
  jobPhaseResponse,
  noSuchJob,
  retryLater,
  stateStoreRefusesWrites,
  stateStoreSilent,
} from "./userResponses.js";

/** What a cancellation uses. */
export interface CancellationContext {
  stateStore: StateStoreClient;
  clock: Clock;
  lookup: JobLookup;
  phases: JobPhases;
}

/** A write that meets another one is tried so often in all. */
const MAX_ATTEMPTS = 4;

/** Takes cancellations; one of a job that is over or cancelled changes nothing. */
export class Cancellation {
  constructor(private readonly context: CancellationContext) {}

  async cancel(id: string): Promise<ServerResponse> {
    if (!isJobId(id)) return noSuchJob;
    const { stateStore, clock, lookup, phases } = this.context;
    const deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const job = await lookup.lookUp(id, deadlineMs);
      if (job.kind === "failed") return stateStoreSilent();
      if (job.kind === "absent") return noSuchJob;
      if (job.kind === "final" || job.head.cancelledAt !== null) return jobPhaseResponse(id, phases.of(job));
      const head: JobHead = { ...job.head, cancelledAt: clock.wallTime() };
      const outcome = await stateStore.compareAndSwap(
        [{ key: keys.head(id), version: job.version }],
        [{ put: keys.head(id), value: encodeHead(head) }],
        deadlineMs,
      );
      if (outcome.kind === "ok") return jobPhaseResponse(id, phases.of({ ...job, head }));
      if (outcome.kind === "refused") return stateStoreRefusesWrites();
      // A conflict or no response: look again.
    }
    return retryLater("the job keeps changing");
  }
}
