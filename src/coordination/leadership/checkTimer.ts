/** The elector's one timer: when it next renews its lease or reads who leads. */
import type { Clock, Timer } from "../../transport/clock.js";

/** A delay with a random part, so that controllers that failed together don't try again together. */
export interface RandomDelay {
  leastMs: number;
  spreadMs: number;
}

/** What the timer uses of the elector. */
export interface CheckTimerContext {
  clock: Clock;
  /** At least 0 and below 1. */
  random: () => number;
}

/** When an elector looks at the leadership next. At most one check is pending; none is once the timer is stopped. */
export class CheckTimer {
  private pending: Timer | null = null;
  private stopped = false;

  constructor(
    private readonly context: CheckTimerContext,
    private readonly onDue: () => void,
  ) {}

  get isStopped(): boolean {
    return this.stopped;
  }

  /** Replaces the pending check by one after that time. */
  checkAfter(delayMs: number): void {
    this.pending?.cancel();
    if (this.stopped) return;
    this.pending = this.context.clock.after(delayMs, this.onDue);
  }

  /** Replaces the pending check by one after a time drawn from that span. */
  checkAfterRandom({ leastMs, spreadMs }: RandomDelay): void {
    this.checkAfter(leastMs + this.context.random() * spreadMs);
  }

  stop(): void {
    this.stopped = true;
    this.pending?.cancel();
  }
}
