/** Final records that have been read. They never change, so they may be remembered (rule `went_back`). */
import type { FinalRecord } from "../../bookkeeping/records.js";

const MAX_RECORDS = 20_000;

/** Remembers the latest final records. */
export class FinalRecordCache {
  private readonly records = new Map<string, FinalRecord>();

  get(id: string): FinalRecord | undefined {
    return this.records.get(id);
  }

  add(id: string, record: FinalRecord): void {
    this.records.set(id, record);
    if (this.records.size > MAX_RECORDS) this.records.delete(this.records.keys().next().value!);
  }
}
