/** Finds out from the state store what has become of a job. */
import type { LiveJobCache } from "../../bookkeeping/liveJobCache.js";
import { decodeFinal, keys, type FinalRecord, type JobHead } from "../../bookkeeping/records.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { FinalRecordCache } from "./finalRecordCache.js";

/** What uses a lookup. */
export interface JobLookupContext {
  stateStore: StateStoreClient;
  liveJobs: LiveJobCache;
  finalRecords: FinalRecordCache;
  /** A job has been found to be over. */
  onFinal: (id: string) => void;
}

/** A job that the state store knows: live, with its head's version for the next write, or over. */
export type KnownJob =
  { kind: "live"; head: JobHead; version: number } | { kind: "final"; record: FinalRecord };

/** What a lookup found. */
export type LookupResult =
  | KnownJob
  /** There was no such job when the lookup began. */
  | { kind: "absent" }
  /** The state store did not answer in time, or the job's record can't be read: nothing is known. */
  | { kind: "failed" };

/** Does the state store know the job? */
export function isKnown(result: LookupResult): result is KnownJob {
  return result.kind === "live" || result.kind === "final";
}

/** Looks jobs up by a fresh read; only what is final is remembered. */
export class JobLookup {
  constructor(private readonly context: JobLookupContext) {}

  /**
   * Jobs move from live to final in one transaction and never back, so a job that was not live at a moment after the
   * request, and has no final key after that, had not been accepted when the lookup began.
   */
  async lookUp(id: string, deadlineMs: number): Promise<LookupResult> {
    const { stateStore, liveJobs, finalRecords } = this.context;
    const remembered = finalRecords.get(id);
    if (remembered) return { kind: "final", record: remembered };
    if (!(await liveJobs.refresh(deadlineMs))) return { kind: "failed" };
    const live = liveJobs.liveJob(id);
    if (live) return { kind: "live", head: live.head, version: live.version };
    const final = await stateStore.get(keys.final(id), deadlineMs);
    if (final.kind === "failed") return { kind: "failed" };
    if (final.kind === "found") return this.foundFinal(id, final.item.value);
    // A live record that can't be read is not absent.
    const unreadable = await stateStore.get(keys.head(id), deadlineMs);
    return { kind: unreadable.kind === "absent" ? "absent" : "failed" };
  }

  private foundFinal(id: string, value: unknown): LookupResult {
    const record = decodeFinal(value);
    if (!record) return { kind: "failed" };
    this.context.onFinal(id);
    this.context.finalRecords.add(id, record);
    return { kind: "final", record };
  }
}
