/** Cancels jobs. A cancellation is committed to the state store before it is confirmed (rule `ran_cancelled`). */
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
  noSuchJobResponse,
  retryLaterResponse,
  stateStoreRefusedWrite,
  stateStoreUnavailable,
} from "./userResponses.js";

/** Dependencies of `Cancellation`. */
export interface CancellationContext {
  stateStore: StateStoreClient;
  clock: Clock;
  lookup: JobLookup;
  phases: JobPhases;
}

/** Compare-and-swap attempts for one cancellation, the first included, when writes conflict. */
const MAX_ATTEMPTS = 4;

/** Handles cancellation requests. Cancelling a finished or already cancelled job changes nothing. */
export class Cancellation {
  constructor(private readonly context: CancellationContext) {}

  async cancel(id: string): Promise<ServerResponse> {
    if (!isJobId(id)) return noSuchJobResponse;
    const { stateStore, clock, lookup, phases } = this.context;
    const deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const job = await lookup.lookUp(id, deadlineMs);
      if (job.kind === "failed") return stateStoreUnavailable();
      if (job.kind === "absent") return noSuchJobResponse;
      if (job.kind === "final" || job.head.cancelledAt !== null)
        return jobPhaseResponse(id, phases.phaseOf(job));
      const head: JobHead = { ...job.head, cancelledAt: clock.wallTime() };
      const outcome = await stateStore.compareAndSwap(
        [{ key: keys.head(id), version: job.version }],
        [{ put: keys.head(id), value: encodeHead(head) }],
        deadlineMs,
      );
      if (outcome.kind === "ok") return jobPhaseResponse(id, phases.phaseOf({ ...job, head }));
      if (outcome.kind === "refused") return stateStoreRefusedWrite();
      // After a conflict or an unknown outcome, the job is read again.
    }
    return retryLaterResponse("the job keeps changing");
  }
}
