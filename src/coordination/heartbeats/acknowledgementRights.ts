/**
 * Tracks which heartbeats a controller may acknowledge, and until when. An acknowledgement renews a worker's lease, so
 * every right ends at a time on this process's steady clock, and no right from an earlier term is used in a later one
 * (rules `ran_twice`, `ran_cancelled`).
 */
import type { Grant } from "../../protocol/peers/messages.js";
import { CLOCK_DRIFT } from "../term/clockDrift.js";
import type { LeadershipLease } from "../term/leadershipLease.js";

/** How long a zone peer's announcement that it is isolated, too, stays valid. */
const ISOLATION_ANNOUNCEMENT_TTL_MS = 1600;
/** How long this controller waits for such an announcement after its last right to acknowledge any zone ended. */
const ISOLATION_ANNOUNCEMENT_WAIT_MS = 1500;
/** A grant that arrives later than this after its request is ignored. */
const MAX_GRANT_AGE_MS = 10_000;

/** What the leader allows the heartbeat server in its own process to acknowledge; followers receive this in grants. */
export interface HeartbeatServerLimits {
  term: number;
  /** Steady time after which nothing is acknowledged, even if the leadership lease would allow it. */
  acknowledgeUntilMs: number;
  /** Steady time until which workers of this controller's zone may be acknowledged while the zone is partitioned. */
  zoneLeaseUntilMs: number;
  /** Names of machines whose heartbeats must not be acknowledged. */
  quarantined: string[];
  /** Sequence number of the last cancellation confirmed by this process that the leader has applied. */
  cancellationSeq: number;
}

/** Owns a controller's rights to acknowledge heartbeats: a leader's under its lease, a follower's under grants. */
export class AcknowledgementRights {
  /** The leadership lease, or null if this controller does not lead. */
  private lease: LeadershipLease | null = null;
  /** Bound on the leader's own right, set by the cancellations that it knows; -Infinity until its first limits. */
  private leaderLimitMs = -Infinity;
  /** End of the latest grant of this term; -Infinity if there is none. */
  private lastGrantUntilMs = -Infinity;
  /** End of the lease on this controller's zone, which applies while the zone is partitioned; -Infinity if none. */
  private zoneLeaseUntilMs = -Infinity;
  /** Upper bound on the end of this controller's rights to acknowledge heartbeats of any zone; -Infinity if none. */
  private anyZoneUntilMs = -Infinity;
  /** When a controller of the same zone last announced that it, too, has no right and no leader. */
  private zonePeerIsolatedMs = -Infinity;
  private quarantined = new Set<string>();

  constructor(private readonly zone: string) {}

  /** Whether this controller is the leader. */
  get isLeader(): boolean {
    return this.lease !== null;
  }

  /** The term that this controller leads, or undefined if it leads none. */
  get ledTerm(): number | undefined {
    return this.lease?.term;
  }

  /** Steady time until which this controller may acknowledge heartbeats of any zone. */
  get acknowledgeUntilMs(): number {
    return this.lease ? Math.min(this.lease.acknowledgeUntilMs, this.leaderLimitMs) : this.lastGrantUntilMs;
  }

  /** End of the latest grant of this term; -Infinity if there is none. */
  get grantUntilMs(): number {
    return this.lastGrantUntilMs;
  }

  /** Sets the leadership lease that the election granted or renewed; null ends the leadership. */
  setLease(lease: LeadershipLease | null): void {
    this.lease = lease;
  }

  /** Includes the end of the leadership lease in the upper bound on the rights to acknowledge any zone. */
  recordLeaseEnd(lease: LeadershipLease): void {
    this.anyZoneUntilMs = Math.max(this.anyZoneUntilMs, lease.acknowledgeUntilMs);
  }

  /** Revokes all rights of an earlier term: the next leader relies on none of them being used from now on. */
  revokeAll(): void {
    this.lastGrantUntilMs = -Infinity;
    this.zoneLeaseUntilMs = -Infinity;
    this.anyZoneUntilMs = -Infinity;
    this.zonePeerIsolatedMs = -Infinity;
    this.leaderLimitMs = -Infinity;
  }

  /** Applies the limits of the leader in this process. */
  applyLimits(limits: HeartbeatServerLimits): void {
    this.leaderLimitMs = limits.acknowledgeUntilMs;
    this.zoneLeaseUntilMs = Math.max(this.zoneLeaseUntilMs, limits.zoneLeaseUntilMs);
    this.quarantined = new Set(limits.quarantined);
  }

  /**
   * Applies a grant from this term's leader. Its duration counts from its request. Returns false, and ignores the grant, if
   * the request is too old or lies in the future.
   */
  applyGrant(grant: Grant, nowMs: number): boolean {
    const { requestedAtMs, durationMs, zoneDurationMs } = grant;
    if (requestedAtMs > nowMs || nowMs - requestedAtMs > MAX_GRANT_AGE_MS) return false;
    this.lastGrantUntilMs = Math.max(this.lastGrantUntilMs, grantEndMs(requestedAtMs, durationMs));
    this.anyZoneUntilMs = Math.max(this.anyZoneUntilMs, this.lastGrantUntilMs);
    if (zoneDurationMs > 0)
      this.zoneLeaseUntilMs = Math.max(this.zoneLeaseUntilMs, grantEndMs(requestedAtMs, zoneDurationMs));
    this.quarantined = new Set(grant.quarantined);
    return true;
  }

  /** Records that a controller of the same zone announced that it has no right and no leader. */
  recordZonePeerIsolated(nowMs: number): void {
    this.zonePeerIsolatedMs = nowMs;
  }

  /** Whether only the zone lease is left. The zone peers must then be informed. */
  isIsolated(nowMs: number): boolean {
    return nowMs >= this.acknowledgeUntilMs && nowMs < this.zoneLeaseUntilMs;
  }

  /**
   * Whether workers of `zone` may be acknowledged under this controller's zone lease. In a partitioned zone tasks keep
   * running as long as a controller inside acknowledges their workers. This controller alone cannot tell such a partition
   * from its own isolation, in which refused workers would reach the other controllers. The zone lease is therefore used
   * only while a zone peer announces that it is isolated, too, or until the peer has had time to announce it.
   */
  mayAcknowledgeByZoneLease(zone: string, nowMs: number): boolean {
    if (zone !== this.zone || nowMs >= this.zoneLeaseUntilMs) return false;
    return (
      nowMs - this.anyZoneUntilMs < ISOLATION_ANNOUNCEMENT_WAIT_MS ||
      nowMs - this.zonePeerIsolatedMs < ISOLATION_ANNOUNCEMENT_TTL_MS
    );
  }

  /** Whether a cancelled task may still run on the machine, so that its lease must expire (rule `ran_cancelled`). */
  isQuarantined(machine: string): boolean {
    return this.quarantined.has(machine);
  }
}

/**
 * End of a grant on this process's clock. The duration is shortened by the clock drift, because this clock may be the
 * slower one: the right ends here before the leader, which counts a longer time, considers it ended.
 */
function grantEndMs(requestedAtMs: number, durationMs: number): number {
  return requestedAtMs + durationMs * (1 - 2 * CLOCK_DRIFT);
}
