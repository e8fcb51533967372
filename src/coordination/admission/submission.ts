/** Accepts jobs. "Accepted" is committed before it is said (rules `forgotten`, `invented`). */
import { encodeHead, keys } from "../../bookkeeping/records.js";
import type { CompareAndSwapOutcome, StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { MachineType } from "../../protocol/model.js";
import { decodeSubmission, encodeJobPhase } from "../../protocol/users.js";
import type { Team } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { ServerResponse } from "../../transport/httpServer.js";
import type { FinalRecordCache } from "./finalRecordCache.js";
import { isKnown, type JobLookup, type KnownJob } from "./jobLookup.js";
import type { JobPhases } from "./jobPhases.js";
import { rejectionReason } from "./rejectionReason.js";
import { CHANGE_TIMEOUT_MS } from "./timeouts.js";
import { jobPhaseResponse, retryLater, stateStoreRefusesWrites, stateStoreSilent } from "./userResponses.js";

/** What a submission uses. */
export interface SubmissionContext {
  stateStore: StateStoreClient;
  clock: Clock;
  teams: Team[];
  /** The longest value that the state store takes. */
  valueBytes: number;
  finalRecords: FinalRecordCache;
  lookup: JobLookup;
  phases: JobPhases;
}

/** After a write whose outcome is unknown, there is always this much time to look at what has come of it. */
const MIN_LOOKUP_MS = 300;

/** Takes submissions. The same submission may come any number of times: the job is accepted once. */
export class Submission {
  private types: MachineType[] | null = null;

  constructor(private readonly context: SubmissionContext) {}

  /** The cloud's machine types; before they are known no new job is accepted. */
  setTypes(types: MachineType[]): void {
    this.types = types;
  }

  async submit(value: unknown): Promise<ServerResponse> {
    const decoded = decodeSubmission(value);
    if (decoded.kind === "malformed") return { status: 400, body: { error: decoded.reason } };
    const { spec } = decoded;
    const { clock, finalRecords, lookup, teams, valueBytes } = this.context;
    const deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    const record = finalRecords.get(spec.id);
    if (record) return this.known(spec.id, { kind: "final", record });
    if (!this.types) {
      // A job that was accepted before must not be refused now; a new one can't be judged without knowing types.
      const job = await lookup.lookUp(spec.id, deadlineMs);
      return isKnown(job) ? this.known(spec.id, job) : retryLater("machine types are not known yet");
    }
    const reason = rejectionReason(spec, this.types, teams);
    const head = encodeHead({ spec, acceptedAt: clock.wallTime(), cancelledAt: null });
    const isTooLong = Buffer.byteLength(JSON.stringify(head)) > valueBytes;
    if (reason !== null || isTooLong) {
      // Settings may have changed since it was accepted: what was accepted stays so (rule `forgotten`).
      const job = await lookup.lookUp(spec.id, deadlineMs);
      if (job.kind === "failed") return stateStoreSilent();
      return isKnown(job) ? this.known(spec.id, job) : rejected(reason);
    }
    const outcome = await this.writeHead(spec.id, head, deadlineMs);
    if (outcome.kind === "ok") return { status: 201, body: encodeJobPhase(spec.id, "pending") };
    if (outcome.kind === "refused") return stateStoreRefusesWrites();
    // Known already, or the outcome is unknown: only reading tells.
    const job = await lookup.lookUp(spec.id, Math.max(deadlineMs, clock.nowMs() + MIN_LOOKUP_MS));
    return isKnown(job) ? this.known(spec.id, job) : retryLater("the outcome is not known yet");
  }

  /** Writes the head of a job that is neither live nor over. */
  private writeHead(id: string, head: unknown, deadlineMs: number): Promise<CompareAndSwapOutcome> {
    const conditions = [
      { key: keys.head(id), version: 0 },
      { key: keys.final(id), version: 0 },
    ];
    const changes = [{ put: keys.head(id), value: head }];
    return this.context.stateStore.compareAndSwap(conditions, changes, deadlineMs);
  }

  private known(id: string, job: KnownJob): ServerResponse {
    return jobPhaseResponse(id, this.context.phases.of(job));
  }
}

function rejected(reason: string | null): ServerResponse {
  return reason !== null
    ? { status: 422, body: { error: reason } }
    : { status: 400, body: { error: "the description is too long to be kept" } };
}
