/** A simulated clock that the test advances: simulated days run deterministically and within seconds. */
import type { Clock, Timer } from "../../src/transport/clock.js";

interface ScheduledTimer {
  atMs: number;
  /** Sequence number that breaks ties: timers for the same time run in the order in which they were set. */
  order: number;
  run: () => void;
  isCancelled: boolean;
}

/** Initial monotonic time; nonzero to distinguish it from an unset time. */
const START_MS = 1000;
/** Wall-clock time at monotonic time zero, in milliseconds since the Unix epoch. */
const EPOCH_MS = 1_800_000_000_000;

/**
 * A clock whose timers run in the order of their due times and, for equal times, in the order in which they were set.
 */
export class SimClock implements Clock {
  private currentMs = START_MS;
  private nextOrder = 0;
  private readonly timers = new TimerHeap();

  nowMs(): number {
    return this.currentMs;
  }

  wallTime(): Date {
    return new Date(EPOCH_MS + this.currentMs);
  }

  after(delayMs: number, run: () => void): Timer {
    const atMs = this.currentMs + Math.max(0, delayMs);
    const timer: ScheduledTimer = { atMs, order: this.nextOrder++, run, isCancelled: false };
    this.timers.push(timer);
    return {
      cancel: () => {
        timer.isCancelled = true;
      },
    };
  }

  /**
   * Advances time by `byMs` and runs the timers that become due; promises and mailboxes are processed after each timer.
   */
  async advance(byMs: number): Promise<void> {
    const untilMs = this.currentMs + byMs;
    await flushPromises();
    for (let next = this.timers.first(); next && next.atMs <= untilMs; next = this.timers.first()) {
      this.timers.pop();
      if (next.isCancelled) continue;
      this.currentMs = Math.max(this.currentMs, next.atMs);
      next.run();
      await flushPromises();
    }
    this.currentMs = untilMs;
  }
}

/** A binary min-heap of timers, ordered by due time and sequence number. */
class TimerHeap {
  private readonly items: ScheduledTimer[] = [];

  first(): ScheduledTimer | undefined {
    return this.items[0];
  }

  push(timer: ScheduledTimer): void {
    let index = this.items.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Removes the timer that is due first; the heap must not be empty. */
  pop(): void {
    const last = this.items.pop()!;
    if (this.items.length === 0) return;
    this.items[0] = last;
    let index = 0;
    for (;;) {
      const least = this.leastOf(index, 2 * index + 1, 2 * index + 2);
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private leastOf(parent: number, ...children: number[]): number {
    let least = parent;
    for (const child of children) {
      if (child < this.items.length && this.isBefore(child, least)) least = child;
    }
    return least;
  }

  private isBefore(left: number, right: number): boolean {
    const [first, second] = [this.items[left]!, this.items[right]!];
    return first.atMs < second.atMs || (first.atMs === second.atMs && first.order < second.order);
  }

  private swap(left: number, right: number): void {
    [this.items[left], this.items[right]] = [this.items[right]!, this.items[left]!];
  }
}

/** Runs all work that is ready without advancing the clock; `setImmediate` runs after all pending promise callbacks. */
async function flushPromises(): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve));
}
