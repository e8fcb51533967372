/** Schedules the term's writes to the state store. */
import type { Clock, Timer } from "../../transport/clock.js";

/** Maximum delay of task results, so that many share one write. The end of a job is written without delay. */
export const DEFERRED_WRITE_MS = 3000;

/** Accepts requests to write pending changes to the state store. */
export interface WriteRequests {
  /** Requests a write of all pending changes within the given delay. */
  requestWrite(delayMs: number): void;
}

/** Decides when the next write begins. Concurrent requests share one write, and at most one write is in flight. */
export class WriteQueue implements WriteRequests {
  private isInFlight = false;
  /** Steady time of the requested write, or Infinity if none is requested. */
  private dueMs = Infinity;
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    /** Called when a write is due, from `requestWrite` or a timer. Must only post a message to the leader. */
    private readonly onDue: () => void,
  ) {}

  get isWriting(): boolean {
    return this.isInFlight;
  }

  /** Has no effect while a write is in flight, as the next write is requested when it ends. */
  requestWrite(delayMs: number): void {
    const dueMs = this.clock.nowMs() + delayMs;
    if (this.isInFlight || dueMs >= this.dueMs) return;
    this.dueMs = dueMs;
    this.timer?.cancel();
    if (delayMs === 0) this.onDue();
    else this.timer = this.clock.after(delayMs, this.onDue);
  }

  /** Must be called when the due write begins; later requests are for the next write. */
  clearRequest(): void {
    this.dueMs = Infinity;
  }

  beginWrite(): void {
    this.isInFlight = true;
  }

  endWrite(): void {
    this.isInFlight = false;
  }
}
