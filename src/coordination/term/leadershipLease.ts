/** What an election publishes to the other parts of a controller: who leads, and what the leader may do until when. */
import { shortenedByDrift } from "./clockDrift.js";

/** The leader stops this much before its lease can have expired, so that nothing it has begun outlasts the lease. */
const LEADERSHIP_LEASE_MARGIN_MS = 20;

/** A leader's rights, each with its end on this process's steady clock. */
export interface LeadershipLease {
  term: number;
  /** Version of the term's key in the state store: every write of this term is conditional on it. */
  termVersion: number;
  /** Until then the leader may write and start tasks. */
  writeUntilMs: number;
  /** Until then heartbeats may be acknowledged; never less than `writeUntilMs`. */
  acknowledgeUntilMs: number;
  /** From then on no earlier leader can acknowledge anything; Infinity while that is unknown. */
  earlierLeadersSilentFromMs: number;
}

/** The state of the election as this controller sees it. */
export interface LeadershipChange {
  /** Null: this controller does not lead. The same term comes again whenever one of its times moves. */
  lease: LeadershipLease | null;
  /** Name of the leader as far as known; null: nobody. */
  leader: string | null;
  /** That leader's term. */
  term: number;
}

/**
 * Steady time until which a leader may rely on its leadership lease, counted from when its renewal was sent: the state
 * store counts from later on, and its clock may be the faster one.
 */
export function leadershipLeaseUntilMs(renewalSentMs: number, ttlMs: number): number {
  return renewalSentMs + shortenedByDrift(ttlMs) - LEADERSHIP_LEASE_MARGIN_MS;
}
