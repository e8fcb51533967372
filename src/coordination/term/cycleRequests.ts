/** Schedules the term's scheduling cycles. */
import type { Clock } from "../../transport/clock.js";

/** Minimum time from a request to its cycle, so that jobs that arrive within it are placed together. */
const CYCLE_DELAY_MS = 3;

/** Decides when the next scheduling cycle begins. Any component of the term may request one. */
export class CycleRequests {
  private isRequested = false;
  private notBeforeMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Called when a cycle is due. Must only post a message to the leader. */
    private readonly onDue: () => void,
  ) {}

  /** Requests a cycle. Requests before that cycle begins share it. */
  requestCycle(): void {
    if (this.isRequested) return;
    this.isRequested = true;
    const waitMs = Math.max(CYCLE_DELAY_MS, this.notBeforeMs - this.clock.nowMs());
    this.clock.after(waitMs, this.onDue);
  }

  /** Must be called when a cycle begins; later requests are for the next cycle. */
  clearRequest(): void {
    this.isRequested = false;
  }

  /** Delays cycles that are requested from now on until at least the given steady time. */
  pauseUntil(notBeforeMs: number): void {
    this.notBeforeMs = notBeforeMs;
  }
}
