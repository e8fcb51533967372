/** Steady time and timers. Every layer takes its clock from outside, so that tests can turn the hands. */
export interface Clock {
  /** Steady milliseconds; never goes back. */
  nowMs(): number;
  /** Time of day; only as good as the operator's clocks. */
  wallTime(): Date;
  after(delayMs: number, run: () => void): Timer;
}

export interface Timer {
  cancel(): void;
}

export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallTime: () => new Date(),
  after(delayMs, run) {
    const handle = setTimeout(run, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(handle) };
  },
};
