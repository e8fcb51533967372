/** The leadership lease as checked by a term's components before they write, start tasks or acknowledge heartbeats. */
import type { Clock } from "../../transport/clock.js";
import type { LeadershipLease } from "./leadershipLease.js";

/**
 * The rights of the current term and their time limits. Owns the leadership lease last published by the elector, and
 * tracks whether the term's records have been loaded and whether the term is over.
 */
export class TermLease {
  /** Steady time at which this controller began to lead the term. */
  readonly startedMs: number;
  private areRecordsLoaded = false;
  private hasEnded = false;

  constructor(
    private lease: LeadershipLease,
    private readonly clock: Clock,
  ) {
    this.startedMs = clock.nowMs();
  }

  /** Replaces the lease with a newer one of the same term. */
  renew(lease: LeadershipLease): void {
    this.lease = lease;
  }

  get term(): number {
    return this.lease.term;
  }

  /** Version of the term counter, on which every write of this term is conditional. */
  get termVersion(): number {
    return this.lease.termVersion;
  }

  /** Steady time until which heartbeats may be acknowledged. */
  get acknowledgeUntilMs(): number {
    return this.lease.acknowledgeUntilMs;
  }

  /** Steady time from which no earlier leader can acknowledge a heartbeat; Infinity while it is unknown. */
  get earlierLeadershipExpiredFromMs(): number {
    return this.lease.earlierLeadershipExpiredFromMs;
  }

  /** Returns true if the leader may currently write to the state store and start tasks. */
  mayWrite(): boolean {
    return this.clock.nowMs() < this.lease.writeUntilMs;
  }

  /** True once the term's records are loaded. Before that, jobs, attempts and cancellations are unknown. */
  get isLoaded(): boolean {
    return this.areRecordsLoaded;
  }

  markLoaded(): void {
    this.areRecordsLoaded = true;
  }

  /** True once another term has begun or this controller no longer leads. Timers of the term must then do nothing. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  end(): void {
    this.hasEnded = true;
  }
}
