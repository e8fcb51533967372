/** Shows jobs' states. "Not yet over" and "no such job" come from a fresh read (rules `went_back`, `forgotten`). */
import { asNonNegativeInteger } from "../../protocol/json.js";
import { encodeJobStatus, isJobId } from "../../protocol/users.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import type { JobLookup } from "./jobLookup.js";
import type { JobPhases } from "./jobPhases.js";
import type { TaskCountTable } from "./taskCountTable.js";
import { STATUS_TIMEOUT_MS } from "./timeouts.js";
import { noSuchJob, stateStoreSilent } from "./userResponses.js";

/** What a status query uses. */
export interface StatusQueryContext {
  clock: Clock;
  lookup: JobLookup;
  phases: JobPhases;
  taskCounts: TaskCountTable;
}

/** Answers polls of jobs. */
export class StatusQuery {
  constructor(private readonly context: StatusQueryContext) {}

  async show(id: string): Promise<ServerResponse> {
    if (!isJobId(id)) return noSuchJob;
    const { clock, lookup, phases, taskCounts } = this.context;
    const job = await lookup.lookUp(id, clock.nowMs() + STATUS_TIMEOUT_MS);
    if (job.kind === "failed") return stateStoreSilent();
    if (job.kind === "absent") return noSuchJob;
    const phase = phases.of(job);
    if (job.kind === "final") {
      const done = job.record.isCancelled ? 0 : job.record.tasks;
      return { status: 200, body: encodeJobStatus(id, phase, done, 0) };
    }
    const counts = taskCounts.of(id);
    const done = asNonNegativeInteger(counts.done) ?? 0;
    const running = asNonNegativeInteger(counts.running) ?? 0;
    return { status: 200, body: encodeJobStatus(id, phase, done, running) };
  }
}
