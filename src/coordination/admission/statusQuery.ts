/** Answers status queries. "Live" and "no such job" are based on a fresh read (rules `went_back`, `forgotten`). */
import { asNonNegativeInteger } from "../../protocol/json.js";
import { encodeJobStatus, isJobId } from "../../protocol/users.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import type { JobLookup } from "./jobLookup.js";
import type { JobPhases } from "./jobPhases.js";
import type { TaskCountTable } from "./taskCountTable.js";
import { STATUS_QUERY_TIMEOUT_MS } from "./timeouts.js";
import { noSuchJobResponse, stateStoreUnavailable } from "./userResponses.js";

/** Dependencies of `StatusQuery`. */
export interface StatusQueryContext {
  clock: Clock;
  lookup: JobLookup;
  phases: JobPhases;
  taskCounts: TaskCountTable;
}

/** Responds to a status query with the job's phase and its numbers of finished and running tasks. */
export class StatusQuery {
  constructor(private readonly context: StatusQueryContext) {}

  async show(id: string): Promise<ServerResponse> {
    if (!isJobId(id)) return noSuchJobResponse;
    const { clock, lookup, phases, taskCounts } = this.context;
    const job = await lookup.lookUp(id, clock.nowMs() + STATUS_QUERY_TIMEOUT_MS);
    if (job.kind === "failed") return stateStoreUnavailable();
    if (job.kind === "absent") return noSuchJobResponse;
    const phase = phases.phaseOf(job);
    if (job.kind === "final") {
      const done = job.record.isCancelled ? 0 : job.record.tasks;
      return { status: 200, body: encodeJobStatus(id, phase, done, 0) };
    }
    const counts = taskCounts.get(id);
    const done = asNonNegativeInteger(counts.done) ?? 0;
    const running = asNonNegativeInteger(counts.running) ?? 0;
    return { status: 200, body: encodeJobStatus(id, phase, done, running) };
  }
}
