/** The election's requests to the state store. Holds no election state. */
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

/** Timeout of a read of the leadership keys. */
const READ_TIMEOUT_MS = 1500;
/** Timeout of a renewal: less than half of the lease, which leaves time for a second attempt. */
const RENEWAL_TIMEOUT_MS = 1300;
/** Timeout of each of a campaign's two requests. */
const CAMPAIGN_REQUEST_TIMEOUT_MS = 1500;
/** Timeout of ending a lease, which is optional: without it the other controllers wait until the lease expires. */
const END_LEASE_TIMEOUT_MS = 1000;

/** The result of a won campaign. */
export interface WonTerm {
  term: number;
  /** Version of the term counter, on which every write of this term is conditional. */
  termVersion: number;
  leaseId: number;
  /** Steady time at which the lease was requested, from which its duration counts. */
  leaseRequestedMs: number;
}

/** The store's dependencies. */
export interface LeadershipStoreContext {
  node: string;
  incarnation: string;
  stateStore: Pick<StateStoreClient, "list" | "openLease" | "renewLease" | "endLease" | "compareAndSwap">;
  clock: Clock;
  /** Time to live of the leadership lease. */
  leaseMs: number;
}

/** Reads, acquires, renews and ends leadership in the state store. Each call is one attempt with its own timeout. */
export class LeadershipStore {
  constructor(private readonly context: LeadershipStoreContext) {}

  /** Returns null if the state store did not answer in time. `sentMs` is the steady time of the call. */
  async read(sentMs: number): Promise<LeadershipView | null> {
    const list = await this.context.stateStore.list(keys.leadershipPrefix, sentMs + READ_TIMEOUT_MS);
    return list.kind === "ok" ? decodeLeadership(list.items, list.revision) : null;
  }

  /** Renews a leadership lease. `sentMs` is the steady time of the call. */
  renew(leaseId: number, sentMs: number): Promise<"ok" | "ended" | "failed"> {
    return this.context.stateStore.renewLease(leaseId, sentMs + RENEWAL_TIMEOUT_MS);
  }

  /** Resolves after a response or the timeout, without reporting the outcome. */
  endLease(leaseId: number): Promise<void> {
    const { clock, stateStore } = this.context;
    return stateStore.endLease(leaseId, clock.nowMs() + END_LEASE_TIMEOUT_MS);
  }

  /** Rewrites this leader's record, so that the revision of the state store grows (see `LivenessWrites`). */
  writeLiveness(led: { term: number; termVersion: number; leaseId: number }, nowMs: number): void {
    void this.context.stateStore.compareAndSwap(
      [{ key: keys.term, version: led.termVersion }],
      [leadershipRecordChange(this.ownRecord(led.term, led.leaseId))],
      nowMs + LIVENESS_WRITE_MS,
    );
  }

  /**
   * Campaigns for the term after the one that was read: opens a lease, then increments the term counter by
   * compare-and-swap. After an unknown outcome the record is read back. Calls `onFinished` once, with null if this
   * controller did not become the leader.
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
    // The state store may have executed the compare-and-swap; only a read shows it.
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
