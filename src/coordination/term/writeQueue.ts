/** When the term's next write to the state store begins. */
import type { Clock, Timer } from "../../transport/clock.js";

/** Longest wait of results, so that many share one write; what ends a job is written at once. */
export const DEFERRED_WRITE_MS = 3000;

/** Requests that what has changed is written to the state store. */
export interface WriteRequests {
  /** What waits is to be written within this time. */
  requestWrite(delayMs: number): void;
}

/** Owns when the next write begins: requests that come together share one write, and at most one is in flight. */
export class WriteQueue implements WriteRequests {
  private isInFlight = false;
  /** Steady time of the requested write; Infinity: none is requested. */
  private dueMs = Infinity;
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    /** Called when a write is due, within `requestWrite` or by a timer: it must only post a message to the leader. */
    private readonly onDue: () => void,
  ) {}

  get isWriting(): boolean {
    return this.isInFlight;
  }

  /** While a write is in flight this does nothing: its end requests the next one. */
  requestWrite(delayMs: number): void {
    const dueMs = this.clock.nowMs() + delayMs;
    if (this.isInFlight || dueMs >= this.dueMs) return;
    this.dueMs = dueMs;
    this.timer?.cancel();
    if (delayMs === 0) this.onDue();
    else this.timer = this.clock.after(delayMs, this.onDue);
  }

  /** The due write is begun: later requests are for the next one. */
  takeDue(): void {
    this.dueMs = Infinity;
  }

  beginWrite(): void {
    this.isInFlight = true;
  }

  endWrite(): void {
    this.isInFlight = false;
  }
}
