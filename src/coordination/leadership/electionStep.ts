/** What a controller that does not lead does after it has read the leadership. */
import type { LeadershipRecord } from "./leadershipRecord.js";

/** What to do after a read of the leadership. */
export type ElectionStep =
  /** Read again after a while. */
  | { kind: "wait" }
  /** Try to begin the next term. */
  | { kind: "campaign" }
  /** End the lease of a leader that is gone, so that nobody waits for its expiry. */
  | { kind: "end lease"; record: LeadershipRecord; reason: string };

/** What this controller knows beside the record. */
export interface ElectionFacts {
  node: string;
  incarnation: string;
  /** The leader's host refuses connections, and nothing shows that the leader lives. */
  isLeaderSuspected: boolean;
  /** This controller has stepped down, and leaves the next term to others for a while. */
  isCampaignPaused: boolean;
}

/** Decides the next step from the record that was read (null: nobody leads) and what else is known. Pure. */
export function stepAfterRead(record: LeadershipRecord | null, facts: ElectionFacts): ElectionStep {
  if (!record) return { kind: facts.isCampaignPaused ? "wait" : "campaign" };
  if (facts.isLeaderSuspected)
    return { kind: "end lease", record, reason: `${record.node} refuses connections` };
  // The former process of this node is certainly over, so nobody need wait for its lease.
  if (record.node === facts.node && record.incarnation !== facts.incarnation)
    return { kind: "end lease", record, reason: "it belongs to a former process of this node" };
  return { kind: "wait" };
}
