/** Time and timers. Components receive their clock as a dependency, so that tests can run them on a simulated clock. */
export interface Clock {
  /** The time in milliseconds on a monotonic clock whose origin is arbitrary. */
  nowMs(): number;
  /** The time of day. It is only as accurate as the host's system clock, and it may jump. */
  wallTime(): Date;
  /** Calls `run` once after the delay; a negative delay counts as 0. The caller owns the timer and cancels it. */
  after(delayMs: number, run: () => void): Timer;
}

/** A pending or fired timer, as returned by `Clock.after`. */
export interface Timer {
  /** Prevents a pending timer from firing; does nothing once the timer has fired. */
  cancel(): void;
}

/** The clock of the process, with the timers of Node.js. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallTime: () => new Date(),
  after(delayMs, run) {
    const handle = setTimeout(run, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(handle) };
  },
};
