import type { Clock } from "../../transport/clock.js";

/** A cycle begins so long after it was asked for at the least: what comes with the same message is placed in company. */
const CYCLE_DELAY_MS = 3;

/** Owns when the next scheduling cycle begins; any part of the term may ask for one. */
export class CycleRequests {
  private requested = false;
  private notBeforeMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** Called when a cycle is due: it only puts a message into the leader's mailbox. */
    private readonly onDue: () => void,
  ) {}

  requestCycle(): void {
    if (this.requested) return;
    this.requested = true;
    const waitMs = Math.max(CYCLE_DELAY_MS, this.notBeforeMs - this.clock.nowMs());
    this.clock.after(waitMs, this.onDue);
  }

  /** The due cycle's turn has come: later requests ask for the next one. */
  takeDue(): void {
    this.requested = false;
  }

  /** The next cycle begins no sooner than that. */
  pauseUntil(notBeforeMs: number): void {
    this.notBeforeMs = notBeforeMs;
  }
}
