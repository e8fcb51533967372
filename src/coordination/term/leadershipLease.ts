/** The result of the election for the other components of a controller: the leader and its time-limited rights. */
import { shortenedByDrift } from "./clockDrift.js";

/** The leader's rights end this long before its lease can expire, so that no started operation outlasts the lease. */
const LEADERSHIP_LEASE_MARGIN_MS = 20;

/** The rights of this controller as leader of a term. All times are on this process's steady clock. */
export interface LeadershipLease {
  term: number;
  /** Version of the term counter in the state store, on which every write of this term is conditional. */
  termVersion: number;
  /** Time until which the leader may write to the state store and start tasks. */
  writeUntilMs: number;
  /** Time until which heartbeats may be acknowledged; at least `writeUntilMs`. */
  acknowledgeUntilMs: number;
  /** Time from which no earlier leader can acknowledge heartbeats; Infinity while it is unknown. */
  earlierLeadershipExpiredFromMs: number;
}

/** The state of the election as known to this controller. */
export interface LeadershipChange {
  /** The leadership lease, published again when one of its times changes; null if this controller does not lead. */
  lease: LeadershipLease | null;
  /** Name of the known leader, or null if there is none. */
  leader: string | null;
  /** Term of the known leader. */
  term: number;
}

/**
 * Returns the steady time until which a leader may rely on its leadership lease. The duration counts from when the renewal
 * was sent, because the state store starts to count later, and is shortened, because its clock may run faster.
 */
export function leadershipLeaseUntilMs(renewalSentMs: number, ttlMs: number): number {
  return renewalSentMs + shortenedByDrift(ttlMs) - LEADERSHIP_LEASE_MARGIN_MS;
}
