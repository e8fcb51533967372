import type { Clock, Timer } from "./clock.js";

/** Each step wakes the process: a tenth of all its turns, when it was 100 ms. */
const STEP_MS = 400;

/** How far behind this process is: how late its timers fire, averaged over about two seconds. */
export class EventLoopLagMeter {
  lagMs = 0;
  private timer: Timer | null = null;

  constructor(private readonly clock: Clock) {}

  start(): void {
    const set = this.clock.nowMs();
    this.timer = this.clock.after(STEP_MS, () => {
      const late = Math.max(0, this.clock.nowMs() - set - STEP_MS);
      // A long pause counts for all the steps that it swallowed.
      const share = Math.min(0.8, 0.2 * (1 + late / STEP_MS));
      this.lagMs += (late - this.lagMs) * share;
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }
}
