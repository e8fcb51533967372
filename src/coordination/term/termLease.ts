import type { Clock } from "../../transport/clock.js";
import type { LeadershipLease } from "./leadershipLease.js";

/**
 * The current term as its parts see it: what they may do, and until when. Owns the lease that the election last
 * published, and whether the term's records have been read.
 */
export class TermLease {
  /** Steady time at which this controller began to lead the term. */
  readonly startedMs: number;
  private loaded = false;
  private over = false;

  constructor(
    private lease: LeadershipLease,
    private readonly clock: Clock,
  ) {
    this.startedMs = clock.nowMs();
  }

  /** The election has moved a time of this same term. */
  renew(lease: LeadershipLease): void {
    this.lease = lease;
  }

  get term(): number {
    return this.lease.term;
  }

  get termVersion(): number {
    return this.lease.termVersion;
  }

  get acknowledgeUntilMs(): number {
    return this.lease.acknowledgeUntilMs;
  }

  get earlierLeadersSilentFromMs(): number {
    return this.lease.earlierLeadersSilentFromMs;
  }

  /** May the leader write to the state store and start tasks at this moment? */
  mayWrite(): boolean {
    return this.clock.nowMs() < this.lease.writeUntilMs;
  }

  /** The term's records have been read: before that nothing is known of jobs, attempts and cancellations. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  markLoaded(): void {
    this.loaded = true;
  }

  /** Another term has begun, or this controller leads no more: timers of this one have nothing left to do. */
  get isOver(): boolean {
    return this.over;
  }

  end(): void {
    this.over = true;
  }
}
