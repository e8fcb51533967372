import type { Clock, Timer } from "../../transport/clock.js";

/** Results wait so long for company: what needs them sooner, the end of their job, is written at once. */
export const DEFERRED_WRITE_MS = 3000;

/** Asks for what has changed to be written to the state store. */
export interface WriteRequests {
  /** Sees to it that what waits is written within this time. */
  requestWrite(delayMs: number): void;
}

/** Owns when the next write begins: requests that come together are served by one write, and one is under way at most. */
export class WriteQueue implements WriteRequests {
  private writing = false;
  private dueMs = Infinity;
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    /** Called when a write is due, in the caller's turn or a timer's: it only puts a message into the leader's mailbox. */
    private readonly onDue: () => void,
  ) {}

  get isWriting(): boolean {
    return this.writing;
  }

  requestWrite(delayMs: number): void {
    const dueMs = this.clock.nowMs() + delayMs;
    if (this.writing || dueMs >= this.dueMs) return;
    this.dueMs = dueMs;
    this.timer?.cancel();
    if (delayMs === 0) this.onDue();
    else this.timer = this.clock.after(delayMs, this.onDue);
  }

  /** The due write's turn has come: later requests ask for the next one. */
  takeDue(): void {
    this.dueMs = Infinity;
  }

  writeBegun(): void {
    this.writing = true;
  }

  writeEnded(): void {
    this.writing = false;
  }
}
