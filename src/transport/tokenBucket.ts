/** Tolerance for rounding errors in `refill`, which must not cost a whole token. */
const ROUNDING_TOLERANCE = 1e-9;
const MS_PER_S = 1000;

/**
 * A token bucket that allows `tokensPerSecond` on average and `burst` at once, and starts full. All its times are
 * milliseconds on the same monotonic clock.
 */
export class TokenBucket {
  /** Number of available tokens, including fractions; negative if tokens were reserved in advance. */
  private tokens: number;
  private refilledAtMs: number;

  constructor(
    private readonly tokensPerSecond: number,
    private readonly burst: number,
    nowMs: number,
  ) {
    this.tokens = burst;
    this.refilledAtMs = nowMs;
  }

  /** Returns the number of whole tokens that can be taken now; negative if tokens were reserved in advance. */
  available(nowMs: number): number {
    this.refill(nowMs);
    return Math.floor(this.tokens + ROUNDING_TOLERANCE);
  }

  /** Takes `count` tokens if that many are available; otherwise takes none and returns false. */
  tryTake(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens + ROUNDING_TOLERANCE < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes `count` tokens, in advance if necessary; returns the milliseconds that the caller must wait to use them. */
  reserveMs(count: number, nowMs: number): number {
    this.refill(nowMs);
    this.tokens -= count;
    return this.refillTimeMs(-this.tokens);
  }

  /** Returns the milliseconds until `count` tokens can be taken; 0 if they can be taken now. */
  waitMs(count: number, nowMs: number): number {
    this.refill(nowMs);
    return this.refillTimeMs(count - this.tokens);
  }

  /** Returns the milliseconds that it takes to refill `missing` tokens; 0 if none are missing. */
  private refillTimeMs(missing: number): number {
    return missing <= 0 ? 0 : Math.ceil((missing / this.tokensPerSecond) * MS_PER_S);
  }

  private refill(nowMs: number): void {
    const refilled = ((nowMs - this.refilledAtMs) / MS_PER_S) * this.tokensPerSecond;
    this.tokens = Math.min(this.burst, this.tokens + refilled);
    this.refilledAtMs = nowMs;
  }
}
