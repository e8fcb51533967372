/** Load shedding: decides which users' requests an overloaded controller accepts. */

/** Maximum number of concurrent requests of one kind at one controller; further ones are rejected immediately. */
const MAX_IN_FLIGHT_PER_KIND = 300;
/** Event loop lag above which a controller sheds a share of the reads. */
const READ_SHEDDING_LAG_MS = 1200;
/** Event loop lag above which changes are shed too, since they could hardly be answered in time. */
const CHANGE_SHEDDING_LAG_MS = 3600;
/** Probability of shedding a request. The choice is random so that no job's requests are always rejected (rule `forgotten`). */
const SHEDDING_PROBABILITY = 0.5;

/** A read queries a job's status and can be repeated without harm; a change submits or cancels a job. */
export type RequestKind = "read" | "change";

/** Limits users' requests. Reads and changes are counted separately, so that many reads never crowd out a change. */
export class RequestLimiter {
  private readonly inFlight: Record<RequestKind, number> = { read: 0, change: 0 };

  /** @param lagMs Returns the event loop lag of this process. */
  constructor(
    private readonly lagMs: () => number,
    private readonly random: () => number,
  ) {}

  /** Returns true if the request is accepted; the caller then calls `release` once it has been answered. */
  tryAcquire(kind: RequestKind): boolean {
    if (this.inFlight[kind] >= MAX_IN_FLIGHT_PER_KIND) return false;
    const shedLagMs = kind === "read" ? READ_SHEDDING_LAG_MS : CHANGE_SHEDDING_LAG_MS;
    if (this.lagMs() > shedLagMs && this.random() < SHEDDING_PROBABILITY) return false;
    this.inFlight[kind]++;
    return true;
  }

  release(kind: RequestKind): void {
    this.inFlight[kind]--;
  }
}
