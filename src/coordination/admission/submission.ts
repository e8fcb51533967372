/** Accepts jobs. An acceptance is committed to the state store before it is confirmed (rules `forgotten`, `invented`). */
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
import {
  jobPhaseResponse,
  retryLaterResponse,
  stateStoreRefusedWrite,
  stateStoreUnavailable,
} from "./userResponses.js";

/** Dependencies and settings of `Submission`. */
export interface SubmissionContext {
  stateStore: StateStoreClient;
  clock: Clock;
  teams: Team[];
  /** Maximum size of a value in the state store, in bytes. */
  maxValueBytes: number;
  finalRecords: FinalRecordCache;
  lookup: JobLookup;
  phases: JobPhases;
}

/** Minimum time for the lookup after a write that conflicted or has an unknown outcome, even past the deadline. */
const MIN_LOOKUP_TIMEOUT_MS = 300;

/** Handles submissions. Submitting is idempotent: a job that is submitted repeatedly is accepted once. */
export class Submission {
  private machineTypes: MachineType[] | null = null;

  constructor(private readonly context: SubmissionContext) {}

  /** Sets the cloud's machine types. No new job is accepted before they are known. */
  setMachineTypes(types: MachineType[]): void {
    this.machineTypes = types;
  }

  async submit(value: unknown): Promise<ServerResponse> {
    const decoded = decodeSubmission(value);
    if (decoded.kind === "malformed") return { status: 400, body: { error: decoded.reason } };
    const { spec } = decoded;
    const { clock, finalRecords, lookup, teams, maxValueBytes } = this.context;
    const deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    const record = finalRecords.get(spec.id);
    if (record) return this.knownJobResponse(spec.id, { kind: "final", record });
    if (!this.machineTypes) {
      // A job that was accepted earlier must not be rejected now; a new one can't be checked without machine types.
      const job = await lookup.lookUp(spec.id, deadlineMs);
      return isKnown(job)
        ? this.knownJobResponse(spec.id, job)
        : retryLaterResponse("machine types are not known yet");
    }
    const reason = rejectionReason(spec, this.machineTypes, teams);
    const head = encodeHead({ spec, acceptedAt: clock.wallTime(), cancelledAt: null });
    const isTooLong = Buffer.byteLength(JSON.stringify(head)) > maxValueBytes;
    if (reason !== null || isTooLong) {
      // The job may have been accepted under earlier settings, and an accepted job stays accepted (rule `forgotten`).
      const job = await lookup.lookUp(spec.id, deadlineMs);
      if (job.kind === "failed") return stateStoreUnavailable();
      return isKnown(job) ? this.knownJobResponse(spec.id, job) : rejectionResponse(reason);
    }
    const outcome = await this.writeHead(spec.id, head, deadlineMs);
    if (outcome.kind === "ok") return { status: 201, body: encodeJobPhase(spec.id, "pending") };
    if (outcome.kind === "refused") return stateStoreRefusedWrite();
    // The job exists already, or the outcome of the write is unknown; a read decides.
    const job = await lookup.lookUp(spec.id, Math.max(deadlineMs, clock.nowMs() + MIN_LOOKUP_TIMEOUT_MS));
    return isKnown(job)
      ? this.knownJobResponse(spec.id, job)
      : retryLaterResponse("the outcome is not known yet");
  }

  /** Writes the job's head on the condition that the job is neither live nor finished. */
  private writeHead(id: string, head: unknown, deadlineMs: number): Promise<CompareAndSwapOutcome> {
    const conditions = [
      { key: keys.head(id), version: 0 },
      { key: keys.final(id), version: 0 },
    ];
    const changes = [{ put: keys.head(id), value: head }];
    return this.context.stateStore.compareAndSwap(conditions, changes, deadlineMs);
  }

  private knownJobResponse(id: string, job: KnownJob): ServerResponse {
    return jobPhaseResponse(id, this.context.phases.phaseOf(job));
  }
}

function rejectionResponse(reason: string | null): ServerResponse {
  return reason !== null
    ? { status: 422, body: { error: reason } }
    : { status: 400, body: { error: "the description is too long to be kept" } };
}
