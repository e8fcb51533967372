/** What a term's parts may do and until when: each asks here before it writes, starts or acknowledges anything. */
import type { Clock } from "../../transport/clock.js";
import type { LeadershipLease } from "./leadershipLease.js";

/**
 * The current term as its parts see it: what they may do, and until when. Owns the leadership lease that the elector last
 * published, and whether the term's records have been read.
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

  /** The elector has moved a time of this same term's lease. */
  renew(lease: LeadershipLease): void {
    this.lease = lease;
  }

  get term(): number {
    return this.lease.term;
  }

  /** Version of the term's key: every write of this term is conditional on it. */
  get termVersion(): number {
    return this.lease.termVersion;
  }

  /** Steady time until which heartbeats may be acknowledged. */
  get acknowledgeUntilMs(): number {
    return this.lease.acknowledgeUntilMs;
  }

  /** Steady time from which no earlier leader can acknowledge a heartbeat; Infinity: not known yet. */
  get earlierLeadersSilentFromMs(): number {
    return this.lease.earlierLeadersSilentFromMs;
  }

  /** May the leader write to the state store and start tasks at this moment? */
  mayWrite(): boolean {
    return this.clock.nowMs() < this.lease.writeUntilMs;
  }

  /** The term's records have been read: before that nothing is known of jobs, attempts and cancellations. */
  get isLoaded(): boolean {
    return this.areRecordsLoaded;
  }

  markLoaded(): void {
    this.areRecordsLoaded = true;
  }

  /** Another term has begun, or this controller no longer leads: timers of this one have nothing left to do. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  end(): void {
    this.hasEnded = true;
  }
}
