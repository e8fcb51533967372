/** A token bucket: `perSecond` on average, `burst` at once. */
export class TokenBucket {
  private level: number;
  private lastMs: number;

  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
    nowMs: number,
  ) {
    this.level = burst;
    this.lastMs = nowMs;
  }

  private refill(nowMs: number): void {
    this.level = Math.min(this.burst, this.level + ((nowMs - this.lastMs) / 1000) * this.perSecond);
    this.lastMs = nowMs;
  }

  available(nowMs: number): number {
    this.refill(nowMs);
    return Math.floor(this.level + 1e-9);
  }

  tryTake(count: number, nowMs: number): boolean {
    this.refill(nowMs);
    if (this.level + 1e-9 < count) return false;
    this.level -= count;
    return true;
  }

  /** Takes `count` now, on credit if need be, and returns how long to wait before using it. */
  reserveMs(count: number, nowMs: number): number {
    this.refill(nowMs);
    this.level -= count;
    return this.level >= 0 ? 0 : Math.ceil((-this.level / this.perSecond) * 1000);
  }

  /** Milliseconds until `count` can be taken; 0 when it can be taken now. */
  waitMs(count: number, nowMs: number): number {
    this.refill(nowMs);
    return this.level >= count ? 0 : Math.ceil(((count - this.level) / this.perSecond) * 1000);
  }
}
