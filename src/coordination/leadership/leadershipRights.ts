/** Until when a leader may do what: the times of its lease, and of extensions that a majority has confirmed. */
import { leadershipLeaseUntilMs } from "../term/leadershipLease.js";
import { EXTENSION_MS } from "./leaseExtension.js";

/** A leader whose lease nobody renews or extends gives its term up so long after its last right has ended. */
const RESIGN_AFTER_MS = 1000;

/** Owns the times up to which one term's leader may write and acknowledge. */
export class LeadershipRights {
  private extendedUntilMs = -Infinity;

  constructor(
    /** Steady time at which the last successful renewal, or the lease itself, was asked for. */
    private renewalSentMs: number,
    /** The leadership lease's time to live. */
    private readonly leaseMs: number,
  ) {}

  /** The state store has renewed the lease, asked at that time. */
  renew(sentMs: number): void {
    this.renewalSentMs = sentMs;
  }

  /** A majority has extended the right to acknowledge heartbeats. */
  extend(untilMs: number): void {
    this.extendedUntilMs = Math.max(this.extendedUntilMs, untilMs);
  }

  /** Until then the leader may write and start tasks. */
  get writeUntilMs(): number {
    return leadershipLeaseUntilMs(this.renewalSentMs, this.leaseMs);
  }

  /** Until then heartbeats may be acknowledged. */
  get acknowledgeUntilMs(): number {
    return Math.max(this.writeUntilMs, this.extendedUntilMs);
  }

  /** Neither the state store nor a majority has given this leader any right for a while. */
  areLost(nowMs: number): boolean {
    return nowMs >= this.acknowledgeUntilMs + RESIGN_AFTER_MS && nowMs >= this.writeUntilMs + EXTENSION_MS;
  }
}
