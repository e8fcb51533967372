/** How late this process's timers fire: the measure of overload that every controller reports. */
import type { Clock, Timer } from "./clock.js";

/** Each sample wakes the process: a tenth of all its wake-ups, when this was 100 ms. */
const SAMPLE_INTERVAL_MS = 400;
/** Weight of one sample in the moving average, which thus covers about five samples, or two seconds. */
const SAMPLE_WEIGHT = 0.2;
const MAX_SAMPLE_WEIGHT = 0.8;

/** How overloaded this process is: by how much its timers fire late, as a moving average. */
export class EventLoopLagMeter {
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
    // A long pause counts for all the samples that it swallowed.
    const weight = Math.min(MAX_SAMPLE_WEIGHT, SAMPLE_WEIGHT * (1 + lateMs / SAMPLE_INTERVAL_MS));
    this.lagMs += (lateMs - this.lagMs) * weight;
  }
}
