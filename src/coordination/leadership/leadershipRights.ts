/** The time limits of a leader's rights, given by its lease and by extensions that a majority has confirmed. */
import { leadershipLeaseUntilMs } from "../term/leadershipLease.js";
import { EXTENSION_MS } from "./leaseExtension.js";

/** A leader resigns this long after its last right has expired without a renewal or an extension. */
const RESIGN_AFTER_MS = 1000;

/** Tracks until when the leader of one term may write and may acknowledge heartbeats. */
export class LeadershipRights {
  private extendedUntilMs = -Infinity;

  constructor(
    /** Steady time at which the last successful renewal was sent or, before the first one, the request for the lease. */
    private renewalSentMs: number,
    /** Time to live of the leadership lease. */
    private readonly leaseMs: number,
  ) {}

  /** Applies a successful renewal that was sent at `sentMs`. */
  renew(sentMs: number): void {
    this.renewalSentMs = sentMs;
  }

  /** Extends the right to acknowledge heartbeats, as confirmed by a majority. */
  extend(untilMs: number): void {
    this.extendedUntilMs = Math.max(this.extendedUntilMs, untilMs);
  }

  /** Steady time until which the leader may write to the state store and start tasks. */
  get writeUntilMs(): number {
    return leadershipLeaseUntilMs(this.renewalSentMs, this.leaseMs);
  }

  /** Steady time until which the leader may acknowledge heartbeats. */
  get acknowledgeUntilMs(): number {
    return Math.max(this.writeUntilMs, this.extendedUntilMs);
  }

  /** Returns true once all rights have been expired for long enough that the leader must resign. */
  areLost(nowMs: number): boolean {
    return nowMs >= this.acknowledgeUntilMs + RESIGN_AFTER_MS && nowMs >= this.writeUntilMs + EXTENSION_MS;
  }
}
