/** When the term's next scheduling cycle begins. */
import type { Clock } from "../../transport/clock.js";

/** Shortest time from a request to its cycle: what arrives within it is placed together. */
const CYCLE_DELAY_MS = 3;

/** Owns when the next scheduling cycle begins; any part of the term may request one. */
export class CycleRequests {
  private isRequested = false;
  private notBeforeMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Called when a cycle is due: it must only post a message to the leader. */
    private readonly onDue: () => void,
  ) {}

  /** Requests that come before the cycle begins share it. */
  requestCycle(): void {
    if (this.isRequested) return;
    this.isRequested = true;
    const waitMs = Math.max(CYCLE_DELAY_MS, this.notBeforeMs - this.clock.nowMs());
    this.clock.after(waitMs, this.onDue);
  }

  /** The due cycle begins: later requests are for the next one. */
  takeDue(): void {
    this.isRequested = false;
  }

  /** Cycles that are requested from now on begin no sooner than that steady time. */
  pauseUntil(notBeforeMs: number): void {
    this.notBeforeMs = notBeforeMs;
  }
}
