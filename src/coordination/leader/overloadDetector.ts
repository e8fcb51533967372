/** A leader is overloaded when its timers are this late... */
const OVERLOAD_LAG_MS = 700;
/** ...for so long. */
const OVERLOAD_FOR_MS = 6000;
/** A new leader has more to do than later: so long after its beginning it does not count as overloaded. */
const GRACE_MS = 20_000;

/** Decides from the lag of its timers whether a leader is overloaded, so that it steps down for a controller that keeps up. */
export class OverloadDetector {
  /** Since when the lag has been too long; Infinity while it is not. */
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
