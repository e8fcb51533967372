import type { Clock } from "../transport/clock.js";

/**
 * Machines that come to a node that doesn't lead, and are sent on to the leader. A few always do, after a boot or a
 * change of leader. When the leader hears nearly nobody meanwhile, it is the one that is cut off, and can't tell by
 * itself; so it is told how many came here lately, and judges.
 */
export class Strays {
  private readonly sent = new Map<string, number>();
  private lastToldMs = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly reportS: number,
    private readonly tell: (leader: string, machines: number) => void,
  ) {}

  seen(machine: string, leader: string): void {
    const now = this.clock.nowMs();
    const windowMs = Math.max(5000, this.reportS * 3000);
    this.sent.set(machine, now);
    if (now - this.lastToldMs < 700) return;
    for (const [name, at] of this.sent) if (now - at > windowMs) this.sent.delete(name);
    this.lastToldMs = now;
    this.tell(leader, this.sent.size);
  }
}

/** Is the leader the one that is cut off? Pure. */
export function isIsolated(facts: { astray: number; up: number; heard: number; leadingMs: number }): boolean {
  // A new leader is found within seconds; judge only then.
  return (
    facts.leadingMs > 6000 &&
    facts.astray > 0 &&
    facts.up > 0 &&
    facts.heard * 4 < facts.up &&
    facts.heard < facts.astray
  );
}
