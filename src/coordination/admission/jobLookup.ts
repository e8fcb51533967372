/** Reads a job's current state from the state store. */
import type { LiveJobCache } from "../../bookkeeping/liveJobCache.js";
import { decodeFinal, keys, type FinalRecord, type JobHead } from "../../bookkeeping/records.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { FinalRecordCache } from "./finalRecordCache.js";

/** Dependencies of `JobLookup`. */
export interface JobLookupContext {
  stateStore: StateStoreClient;
  liveJobs: LiveJobCache;
  finalRecords: FinalRecordCache;
  /** Called when a final record has been read: the job has finished. */
  onFinalRecordRead: (id: string) => void;
}

/** A job in the state store: live, with the version of its head for a compare-and-swap, or finished. */
export type KnownJob =
  { kind: "live"; head: JobHead; version: number } | { kind: "final"; record: FinalRecord };

/** The outcome of a lookup. */
export type LookupResult =
  | KnownJob
  /** No such job existed when the lookup began. */
  | { kind: "absent" }
  /** The state store did not respond in time, or the job's record can't be decoded: the job's state is unknown. */
  | { kind: "failed" };

/** Whether the lookup found the job, live or finished. */
export function isKnown(result: LookupResult): result is KnownJob {
  return result.kind === "live" || result.kind === "final";
}

/** Looks jobs up by a fresh read of the state store. Only final records are served from a cache. */
export class JobLookup {
  constructor(private readonly context: JobLookupContext) {}

  /**
   * Reads the live jobs first and the final key second. A job moves from live to final in one transaction and never back,
   * so a job that is missing from both reads had not been accepted when the lookup began.
   */
  async lookUp(id: string, deadlineMs: number): Promise<LookupResult> {
    const { stateStore, liveJobs, finalRecords } = this.context;
    const cached = finalRecords.get(id);
    if (cached) return { kind: "final", record: cached };
    if (!(await liveJobs.refresh(deadlineMs))) return { kind: "failed" };
    const live = liveJobs.liveJob(id);
    if (live) return { kind: "live", head: live.head, version: live.version };
    const final = await stateStore.get(keys.final(id), deadlineMs);
    if (final.kind === "failed") return { kind: "failed" };
    if (final.kind === "found") return this.readFinalRecord(id, final.item.value);
    // A head that can't be decoded is missing from the cache of live jobs, but its job exists.
    const undecodable = await stateStore.get(keys.head(id), deadlineMs);
    return { kind: undecodable.kind === "absent" ? "absent" : "failed" };
  }

  private readFinalRecord(id: string, value: unknown): LookupResult {
    const record = decodeFinal(value);
    if (!record) return { kind: "failed" };
    this.context.onFinalRecordRead(id);
    this.context.finalRecords.add(id, record);
    return { kind: "final", record };
  }
}
