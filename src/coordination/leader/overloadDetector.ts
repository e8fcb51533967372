/** A leader whose timers are this late, for so long, hands over to a controller that keeps up. */
const OVERLOAD_LAG_MS = 700;
const OVERLOAD_FOR_MS = 6000;
/** A new leader has more to do than later: it is given time. */
const GRACE_MS = 20_000;

/** Decides from the lag of its timers whether a leader is overloaded. */
export class OverloadDetector {
  private sinceMs = Infinity;

  constructor(
    /** Steady time at which the term began. */
    private readonly startedMs: number,
  ) {}

  /** Called at each tick with the event loop's lag. */
  isOverloaded(lagMs: number, nowMs: number): boolean {
    if (lagMs < OVERLOAD_LAG_MS) this.sinceMs = Infinity;
    else if (this.sinceMs === Infinity) this.sinceMs = nowMs;
    return nowMs - this.sinceMs >= OVERLOAD_FOR_MS && nowMs - this.startedMs >= GRACE_MS;
  }
}
