/** Time and timers. Every layer is given its clock, so that tests can run on a simulated one. */
export interface Clock {
  /** Milliseconds on a monotonic clock with an arbitrary start. */
  nowMs(): number;
  /** Time of day: as good as the operator's clocks, and it may jump. */
  wallTime(): Date;
  /** Calls `run` once after the delay; a negative delay counts as 0. Whoever sets a timer cancels it. */
  after(delayMs: number, run: () => void): Timer;
}

/** A timer that has been set; cancelling one that has fired does nothing. */
export interface Timer {
  /** Does nothing once the timer has fired. */
  cancel(): void;
}

/** The process's own clock and timers. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallTime: () => new Date(),
  after(delayMs, run) {
    const handle = setTimeout(run, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(handle) };
  },
};
