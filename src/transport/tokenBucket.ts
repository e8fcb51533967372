/** Rounding in `refill` must not cost a whole token. */
const ROUNDING_SLACK = 1e-9;
const MS_PER_S = 1000;

/** A token bucket: `tokensPerSecond` on average, `burst` at once. Starts full. All times are on one monotonic clock. */
export class TokenBucket {
  /** Negative: tokens taken on credit. */
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

  /** Whole tokens that can be taken now. */
  available(nowMs: number): number {
    this.refill(nowMs);
    return Math.floor(this.tokens + ROUNDING_SLACK);
  }

  /** Takes `count` tokens if there are so many; false: none were taken. */
  tryTake(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (this.tokens + ROUNDING_SLACK < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Takes `count` tokens now, on credit if need be, and returns how many milliseconds to wait before using them. */
  reserveMs(count: number, nowMs: number): number {
    this.refill(nowMs);
    this.tokens -= count;
    return this.earnMs(-this.tokens);
  }

  /** Milliseconds until `count` tokens can be taken; 0 when they can be taken now. */
  waitMs(count: number, nowMs: number): number {
    this.refill(nowMs);
    return this.earnMs(count - this.tokens);
  }

  /** How long it takes until so many tokens have come. */
  private earnMs(missing: number): number {
    return missing <= 0 ? 0 : Math.ceil((missing / this.tokensPerSecond) * MS_PER_S);
  }

  private refill(nowMs: number): void {
    const earned = ((nowMs - this.refilledAtMs) / MS_PER_S) * this.tokensPerSecond;
    this.tokens = Math.min(this.burst, this.tokens + earned);
    this.refilledAtMs = nowMs;
  }
}
