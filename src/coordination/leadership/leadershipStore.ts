/** What the election reads from and writes to the state store. Knows no state of the election. */
import { keys } from "../../bookkeeping/records.js";
import type { StateStoreClient } from "../../bookkeeping/stateStoreClient.js";
import type { Clock } from "../../transport/clock.js";
import { LIVENESS_WRITE_MS } from "./leaderSuspicion.js";
import {
  decodeLeadership,
  leadershipRecordChange,
  termChange,
  termVersionIfWritten,
  type LeadershipRecord,
  type LeadershipView,
} from "./leadershipRecord.js";

/** A read of the leadership may take so long. */
const READ_TIMEOUT_MS = 1500;
/** A renewal may take so long: less than half a lease, so that there is time for another one. */
const RENEWAL_TIMEOUT_MS = 1300;
/** Each of a campaign's two requests may take so long. */
const CAMPAIGN_REQUEST_TIMEOUT_MS = 1500;
/** Ending a lease is worth trying for so long: it only spares others the wait for the lease's expiry. */
const END_LEASE_TIMEOUT_MS = 1000;

/** A campaign's success. */
export interface WonTerm {
  term: number;
  /** Version of the term's counter, which every write of this term is conditional on. */
  termVersion: number;
  leaseId: number;
  /** When the lease was asked for, on the steady clock: it counts from then. */
  leaseRequestedMs: number;
}

/** What the store uses of its controller. */
export interface LeadershipStoreContext {
  node: string;
  incarnation: string;
  stateStore: Pick<StateStoreClient, "list" | "openLease" | "renewLease" | "endLease" | "compareAndSwap">;
  clock: Clock;
  /** The leadership lease's time to live. */
  leaseMs: number;
}

/** Reads, begins, renews and ends leadership in the state store; each call is one attempt with a time limit of its own. */
export class LeadershipStore {
  constructor(private readonly context: LeadershipStoreContext) {}

  /** Null when the state store did not answer in time. `sentMs` is the time of the call. */
  async read(sentMs: number): Promise<LeadershipView | null> {
    const list = await this.context.stateStore.list(keys.leadershipPrefix, sentMs + READ_TIMEOUT_MS);
    return list.kind === "ok" ? decodeLeadership(list.items, list.revision) : null;
  }

  /** Renews a leadership lease. `sentMs` is the time of the call. */
  renew(leaseId: number, sentMs: number): Promise<"ok" | "ended" | "failed"> {
    return this.context.stateStore.renewLease(leaseId, sentMs + RENEWAL_TIMEOUT_MS);
  }

  /** Resolves after an answer or the time allowed; nothing is said of the outcome. */
  endLease(leaseId: number): Promise<void> {
    const { clock, stateStore } = this.context;
    return stateStore.endLease(leaseId, clock.nowMs() + END_LEASE_TIMEOUT_MS);
  }

  /** Writes this leader's record again, so that the state store's revision moves (see `LivenessWrites`). */
  writeLiveness(led: { term: number; termVersion: number; leaseId: number }, nowMs: number): void {
    void this.context.stateStore.compareAndSwap(
      [{ key: keys.term, version: led.termVersion }],
      [leadershipRecordChange(this.ownRecord(led.term, led.leaseId))],
      nowMs + LIVENESS_WRITE_MS,
    );
  }

  /**
   * Tries to begin the term after the one that was read: opens a lease, then raises the term by compare-and-swap. A swap
   * whose outcome is unknown is read back. Calls `onFinished` once, with null when this controller does not lead.
   */
  async campaign(view: LeadershipView, onFinished: (won: WonTerm | null) => void): Promise<void> {
    const { clock, stateStore, leaseMs } = this.context;
    const leaseRequestedMs = clock.nowMs();
    const leaseId = await stateStore.openLease(leaseMs, leaseRequestedMs + CAMPAIGN_REQUEST_TIMEOUT_MS);
    if (leaseId === null) {
      onFinished(null);
      return;
    }
    const record = this.ownRecord(view.term + 1, leaseId);
    const outcome = await stateStore.compareAndSwap(
      [
        { key: keys.leader, version: 0 },
        { key: keys.term, version: view.termVersion },
      ],
      [termChange(record), leadershipRecordChange(record)],
      clock.nowMs() + CAMPAIGN_REQUEST_TIMEOUT_MS,
    );
    let termVersion = outcome.kind === "ok" ? outcome.revision : null;
    // Perhaps carried out: read, never guess.
    if (outcome.kind === "unknown")
      termVersion = termVersionIfWritten(record, await this.read(clock.nowMs()));
    if (termVersion === null) {
      void this.endLease(leaseId);
      onFinished(null);
      return;
    }
    onFinished({ term: record.term, termVersion, leaseId, leaseRequestedMs });
  }

  private ownRecord(term: number, leaseId: number): LeadershipRecord {
    const { node, incarnation } = this.context;
    return { term, node, incarnation, leaseId };
  }
}
