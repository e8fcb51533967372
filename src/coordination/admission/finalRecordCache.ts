/** A cache of finished jobs' records. Final records never change, so cached ones stay valid (rule `went_back`). */
import type { FinalRecord } from "../../bookkeeping/records.js";

const MAX_CACHED_RECORDS = 20_000;

/** Keeps a bounded number of final records; the one that was added first is evicted first. */
export class FinalRecordCache {
  private readonly records = new Map<string, FinalRecord>();

  get(id: string): FinalRecord | undefined {
    return this.records.get(id);
  }

  add(id: string, record: FinalRecord): void {
    this.records.set(id, record);
    if (this.records.size > MAX_CACHED_RECORDS) this.records.delete(this.records.keys().next().value!);
  }
}
