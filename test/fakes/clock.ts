import type { Clock, Timer } from "../../src/transport/clock.js";

interface Entry {
  atMs: number;
  order: number;
  run: () => void;
  off: boolean;
}

/** A clock whose hands are turned by the test. Timers run in order of time, then of setting. */
export class SimClock implements Clock {
  private now = 1000;
  private order = 0;
  private heap: Entry[] = [];

  nowMs(): number {
    return this.now;
  }

  wallTime(): Date {
    return new Date(1_800_000_000_000 + this.now);
  }

  after(delayMs: number, run: () => void): Timer {
    const entry: Entry = { atMs: this.now + Math.max(0, delayMs), order: this.order++, run, off: false };
    this.push(entry);
    return {
      cancel: () => {
        entry.off = true;
      },
    };
  }

  /** Turns the hands on, letting promises and mailboxes settle after every step. */
  async advance(ms: number): Promise<void> {
    const until = this.now + ms;
    await settle();
    for (let top = this.heap[0]; top && top.atMs <= until; top = this.heap[0]) {
      this.pop();
      if (top.off) continue;
      this.now = Math.max(this.now, top.atMs);
      top.run();
      await settle();
    }
    this.now = until;
  }

  private less(a: Entry, b: Entry): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private push(entry: Entry): void {
    const h = this.heap;
    let i = h.push(entry) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!this.less(h[i]!, h[up]!)) break;
      [h[i], h[up]] = [h[up]!, h[i]!];
      i = up;
    }
  }

  private pop(): void {
    const h = this.heap;
    const last = h.pop()!;
    if (h.length === 0) return;
    h[0] = last;
    let i = 0;
    for (;;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2])
        if (child < h.length && this.less(h[child]!, h[least]!)) least = child;
      if (least === i) return;
      [h[i], h[least]] = [h[least]!, h[i]!];
      i = least;
    }
  }
}

/** Lets everything run that waits for no time to pass: promise chains of any ordinary length. */
async function settle(): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve));
}
