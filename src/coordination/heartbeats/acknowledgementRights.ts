/**
 * What a controller may acknowledge, and until when. An acknowledgement renews a worker's lease, so every right has an end
 * on this process's steady clock, and none of an earlier term is used in the next (rules `ran_twice`, `ran_cancelled`).
 */
import type { Grant } from "../../protocol/peers/messages.js";
import { CLOCK_DRIFT } from "../term/clockDrift.js";
import type { LeadershipLease } from "../term/leadershipLease.js";

/** How long a neighbour's statement that it is isolated, too, counts. */
const NEIGHBOUR_STATEMENT_MS = 1600;
/** How long such a statement may take to come, from the end of the last right to acknowledge. */
const AWAIT_NEIGHBOUR_MS = 1500;
/** A grant that comes later than this after its request is not used. */
const MAX_GRANT_AGE_MS = 10_000;

/** What the leader in this process lets the heartbeat server beside it acknowledge; followers get it with their grants. */
export interface HeartbeatServerLimits {
  term: number;
  /** Nothing is acknowledged after this, whatever the leadership lease allows. */
  untilMs: number;
  /** Until then the workers of our own zone may be acknowledged, if we are cut off with them. */
  zoneLeaseUntilMs: number;
  /** Machines whose heartbeats may not be acknowledged. */
  quarantined: string[];
  /** The leader knows the cancellations that were confirmed by this process up to that number. */
  cancellationSeq: number;
}

/** Owns a controller's rights to acknowledge heartbeats: as leader by its lease, otherwise by the leader's grants. */
export class AcknowledgementRights {
  private lease: LeadershipLease | null = null;
  /** As leader: the bound that the leader's knowledge of cancellations sets in this term. */
  private limitMs = -Infinity;
  private lastGrantUntilMs = -Infinity;
  /** Until then the workers of our own zone may be acknowledged, if the whole zone is cut off. */
  private zoneLeaseUntilMs = -Infinity;
  /** The last moment at which this controller might acknowledge heartbeats of any zone. */
  private anyZoneUntilMs = -Infinity;
  /** When a controller of our zone last said that it has no right and no leader either. */
  private neighbourIsolatedMs = -Infinity;
  private quarantined = new Set<string>();

  constructor(private readonly zone: string) {}

  /** Is this controller the leader? */
  get isLeader(): boolean {
    return this.lease !== null;
  }

  /** The term that this controller leads; undefined: none. */
  get ledTerm(): number | undefined {
    return this.lease?.term;
  }

  /** Until then this controller may acknowledge heartbeats of any zone. */
  get untilMs(): number {
    return this.lease ? Math.min(this.lease.acknowledgeUntilMs, this.limitMs) : this.lastGrantUntilMs;
  }

  /** End of the latest grant of this term. */
  get grantUntilMs(): number {
    return this.lastGrantUntilMs;
  }

  /** The election has given, renewed or ended this controller's leadership. */
  setLease(lease: LeadershipLease | null): void {
    this.lease = lease;
  }

  /** Counts the leadership lease into the time up to which anything might be acknowledged. */
  noteLeaseEnd(lease: LeadershipLease): void {
    this.anyZoneUntilMs = Math.max(this.anyZoneUntilMs, lease.acknowledgeUntilMs);
  }

  /** Gives up whatever an earlier leader granted: the next one relies on none of it being used from here on. */
  drop(): void {
    this.lastGrantUntilMs = -Infinity;
    this.zoneLeaseUntilMs = -Infinity;
    this.anyZoneUntilMs = -Infinity;
    this.neighbourIsolatedMs = -Infinity;
    this.limitMs = -Infinity;
  }

  /** As leader: what the leader in this process allows from now on. */
  applyLimits(limits: HeartbeatServerLimits): void {
    this.limitMs = limits.untilMs;
    this.zoneLeaseUntilMs = Math.max(this.zoneLeaseUntilMs, limits.zoneLeaseUntilMs);
    this.quarantined = new Set(limits.quarantined);
  }

  /** As follower: a grant of this term's leader. It counts from its request; false: that is too long ago, or unknown. */
  applyGrant(grant: Grant, nowMs: number): boolean {
    const { requestedAtMs, durationMs, zoneDurationMs } = grant;
    if (requestedAtMs > nowMs || nowMs - requestedAtMs > MAX_GRANT_AGE_MS) return false;
    this.lastGrantUntilMs = Math.max(this.lastGrantUntilMs, endOfGrant(requestedAtMs, durationMs));
    this.anyZoneUntilMs = Math.max(this.anyZoneUntilMs, this.lastGrantUntilMs);
    if (zoneDurationMs > 0)
      this.zoneLeaseUntilMs = Math.max(this.zoneLeaseUntilMs, endOfGrant(requestedAtMs, zoneDurationMs));
    this.quarantined = new Set(grant.quarantined);
    return true;
  }

  /** A controller of our zone says that it has no right and no leader either. */
  noteNeighbourIsolated(nowMs: number): void {
    this.neighbourIsolatedMs = nowMs;
  }

  /** Only the lease on our own zone is left: neighbours have to know. */
  isIsolated(nowMs: number): boolean {
    return nowMs >= this.untilMs && nowMs < this.zoneLeaseUntilMs;
  }

  /**
   * May workers of that zone be acknowledged under the lease on our own zone? A zone that is cut off goes on working
   * inside, and its tasks run on as long as somebody there acknowledges their workers. Alone this controller can't tell
   * such a partition from one of its own, where the workers would reach the others if they were refused here: so only
   * while a neighbour says that it is isolated as well, or for the moment until it can say so.
   */
  mayServeOwnZone(zone: string, nowMs: number): boolean {
    if (zone !== this.zone || nowMs >= this.zoneLeaseUntilMs) return false;
    return (
      nowMs - this.anyZoneUntilMs < AWAIT_NEIGHBOUR_MS ||
      nowMs - this.neighbourIsolatedMs < NEIGHBOUR_STATEMENT_MS
    );
  }

  /** A cancelled task on that machine has not shown that it is gone: its lease has to expire (rule `ran_cancelled`). */
  isQuarantined(machine: string): boolean {
    return this.quarantined.has(machine);
  }
}

/** Our clock may be the slower one: the right ends before the leader, who counts longer, takes it for ended. */
function endOfGrant(requestedAtMs: number, durationMs: number): number {
  return requestedAtMs + durationMs * (1 - 2 * CLOCK_DRIFT);
}
