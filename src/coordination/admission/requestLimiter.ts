/** Questions, or changes, of users that may be under way at one node; more are refused at once. */
const MAX_IN_FLIGHT = 300;
/** A node whose timers are this late sheds half of the questions. */
const SHED_QUESTIONS_MS = 1200;
/** Changes are shed only when they would hardly be answered in time any more. */
const SHED_CHANGES_MS = 3600;

/** What a user asks for: a question can be asked again, a submission or a cancellation says something new. */
export type RequestKind = "question" | "change";

/**
 * Decides which of the users' requests a busy node takes. Questions and changes are counted apart, so that a flood of
 * questions keeps no submission and no cancellation out. Half are shed by chance, so that no job is always the one that is
 * refused (rule `forgotten`).
 */
export class RequestLimiter {
  private readonly inFlight: Record<RequestKind, number> = { question: 0, change: 0 };

  constructor(
    private readonly lagMs: () => number,
    private readonly random: () => number,
  ) {}

  /** True: the request is taken, and `finished` has to be called once it is answered. */
  take(kind: RequestKind): boolean {
    if (this.inFlight[kind] >= MAX_IN_FLIGHT) return false;
    const shedFromMs = kind === "question" ? SHED_QUESTIONS_MS : SHED_CHANGES_MS;
    if (this.lagMs() > shedFromMs && this.random() < 0.5) return false;
    this.inFlight[kind]++;
    return true;
  }

  finished(kind: RequestKind): void {
    this.inFlight[kind]--;
  }
}
