import type { Clock } from "../transport/clock.js";

/**
 * Machines that keep coming to a node that doesn't lead: it sends them to the leader, and they come back,
 * because the leader does not hear them. Told to the leader, who can't notice by itself.
 */
export class Strays {
  private readonly sent = new Map<string, number[]>();
  private lastToldMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly reportS: number,
    private readonly tell: (leader: string, machines: number) => void,
  ) {}

  seen(machine: string, leader: string): void {
    const now = this.clock.nowMs();
    const windowMs = 14_000;
    const times = (this.sent.get(machine) ?? []).filter((t) => now - t < windowMs);
    times.push(now);
    this.sent.set(machine, times);
    if (now - this.lastToldMs < 1000 * Math.max(1, this.reportS / 2)) return;
    let returning = 0;
    for (const [name, list] of this.sent) {
      if (now - list.at(-1)! > windowMs) this.sent.delete(name);
      else if (list.length >= 2 && list.at(-1)! - list[0]! > 3000) returning++;
    }
    if (returning === 0) return;
    this.lastToldMs = now;
    this.tell(leader, returning);
  }
}
