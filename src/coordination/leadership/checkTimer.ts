/** The timer of the elector's leadership checks, which renew its lease or read the leadership record. */
import type { Clock, Timer } from "../../transport/clock.js";

/** A delay with jitter, so that controllers that failed at the same time don't retry at the same time. */
export interface RandomDelay {
  minMs: number;
  /** Upper bound of the random time added to `minMs`. */
  jitterMs: number;
}

/** The timer's dependencies. */
export interface CheckTimerContext {
  clock: Clock;
  /** Returns a number of at least 0 and below 1. */
  random: () => number;
}

/** Schedules the elector's next leadership check. At most one check is pending, and none after `stop`. */
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

  /** Schedules a check after the delay, in place of the pending one. */
  checkAfter(delayMs: number): void {
    this.pending?.cancel();
    if (this.stopped) return;
    this.pending = this.context.clock.after(delayMs, this.onDue);
  }

  /** Schedules a check after a random delay, in place of the pending one. */
  checkAfterRandom({ minMs, jitterMs }: RandomDelay): void {
    this.checkAfter(minMs + this.context.random() * jitterMs);
  }

  stop(): void {
    this.stopped = true;
    this.pending?.cancel();
  }
}
