/** Load shedding: which of the users' requests a busy controller takes. */

/** Requests of one kind that may be under way at one controller; more are refused at once. */
const MAX_IN_FLIGHT = 300;
/** A controller whose timers are this late sheds a part of the reads. */
const SHED_READS_LAG_MS = 1200;
/** Changes are shed only when they would hardly be answered in time any more. */
const SHED_CHANGES_LAG_MS = 3600;
/** The part that is shed, by chance: no job is always the one that is refused (rule `forgotten`). */
const SHED_SHARE = 0.5;

/** A read can be repeated at no loss; a change submits or cancels a job. */
export type RequestKind = "read" | "change";

/** Limits the users' requests. Reads and changes are counted apart, so that a flood of reads keeps no change out. */
export class RequestLimiter {
  private readonly inFlight: Record<RequestKind, number> = { read: 0, change: 0 };

  /** @param lagMs How late this process's timers fire. */
  constructor(
    private readonly lagMs: () => number,
    private readonly random: () => number,
  ) {}

  /** True: the request is taken, and `finished` has to be called once it is answered. */
  take(kind: RequestKind): boolean {
    if (this.inFlight[kind] >= MAX_IN_FLIGHT) return false;
    const shedLagMs = kind === "read" ? SHED_READS_LAG_MS : SHED_CHANGES_LAG_MS;
    if (this.lagMs() > shedLagMs && this.random() < SHED_SHARE) return false;
    this.inFlight[kind]++;
    return true;
  }

  finished(kind: RequestKind): void {
    this.inFlight[kind]--;
  }
}
