/** Timer lag from which a leader is considered slow. */
const OVERLOAD_LAG_MS = 700;
/** A leader that is slow for this long without a break is overloaded. */
const MIN_OVERLOAD_MS = 6000;
/** A new leader has more to do than later, so it is not considered overloaded for this long after its term began. */
const STARTUP_GRACE_MS = 20_000;

/** Detects from the timer lag that a leader is overloaded and should step down in favour of a faster controller. */
export class OverloadDetector {
  /** Steady time since which the lag has been too high, or Infinity while it is not. */
  private overloadedSinceMs = Infinity;

  constructor(
    /** Steady time at which the term began. */
    private readonly startedMs: number,
  ) {}

  /** Must be called at each tick with the lag of the event loop. */
  isOverloaded(lagMs: number, nowMs: number): boolean {
    if (lagMs < OVERLOAD_LAG_MS) this.overloadedSinceMs = Infinity;
    else if (this.overloadedSinceMs === Infinity) this.overloadedSinceMs = nowMs;
    return nowMs - this.overloadedSinceMs >= MIN_OVERLOAD_MS && nowMs - this.startedMs >= STARTUP_GRACE_MS;
  }
}
