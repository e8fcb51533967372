/** The decision that a controller that does not lead takes after each read of the leadership record. */
import type { LeadershipRecord } from "./leadershipRecord.js";
import { quoteName } from "../../transport/log.js";

/** The next action of a controller that does not lead. */
export type ElectionStep =
  /** Read the record again after the poll interval. */
  | { kind: "wait" }
  /** Campaign for the next term. */
  | { kind: "campaign" }
  /** End the lease of a leader that has failed, so that the next term can begin before that lease expires. */
  | { kind: "end lease"; record: LeadershipRecord; reason: string };

/** The inputs of the decision other than the leadership record. */
export interface ElectionFacts {
  node: string;
  incarnation: string;
  /** True if the leader's host refuses connections and there is no evidence that the leader is alive. */
  isLeaderSuspected: boolean;
  /** True while this controller does not campaign because it has stepped down. */
  isCampaignPaused: boolean;
}

/** Returns the next action, given the record that was read, which is null if there is no leader. Has no side effects. */
export function decideElectionStep(record: LeadershipRecord | null, facts: ElectionFacts): ElectionStep {
  if (!record) return { kind: facts.isCampaignPaused ? "wait" : "campaign" };
  if (facts.isLeaderSuspected)
    return { kind: "end lease", record, reason: `${quoteName(record.node)} refuses connections` };
  // The previous process of this node has certainly ended, so its lease can be ended as well.
  if (record.node === facts.node && record.incarnation !== facts.incarnation)
    return { kind: "end lease", record, reason: "it belongs to a previous process of this node" };
  return { kind: "wait" };
}
