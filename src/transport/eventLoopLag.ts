/** Measures event loop lag, which every controller reports as its measure of overload. */
import type { Clock, Timer } from "./clock.js";

/** Each sample wakes the process: with an interval of 100 ms, samples caused a tenth of all its wake-ups. */
const SAMPLE_INTERVAL_MS = 400;
/** Weight of one sample in the moving average, which therefore covers about five samples, or two seconds. */
const SAMPLE_WEIGHT = 0.2;
/** Upper bound of the weight of one sample, however late it is. */
const MAX_SAMPLE_WEIGHT = 0.8;

/** Keeps a moving average of how late this process's timers fire. */
export class EventLoopLagMeter {
  /** The moving average, in milliseconds. */
  lagMs = 0;
  private timer: Timer | null = null;

  constructor(private readonly clock: Clock) {}

  start(): void {
    const setAtMs = this.clock.nowMs();
    this.timer = this.clock.after(SAMPLE_INTERVAL_MS, () => {
      this.addSample(Math.max(0, this.clock.nowMs() - setAtMs - SAMPLE_INTERVAL_MS));
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  private addSample(lateMs: number): void {
    // After a long pause, the weight of this sample includes the samples that the pause prevented.
    const weight = Math.min(MAX_SAMPLE_WEIGHT, SAMPLE_WEIGHT * (1 + lateMs / SAMPLE_INTERVAL_MS));
    this.lagMs += (lateMs - this.lagMs) * weight;
  }
}
