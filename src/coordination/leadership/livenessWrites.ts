/**
 * Decides how long a leader rewrites its record to show that it is alive. When the links between controllers are refused,
 * the other controllers suspect the leader and end its lease if they see no writes (see `LeaderSuspicion`). Without
 * liveness writes a leader that had nothing to write lost its lease that way, and 50 workers lost theirs as a result.
 */
import { SUSPICION_MS } from "./leaderSuspicion.js";

/** Tracks until when liveness writes are active. */
export class LivenessWrites {
  private untilMs = -Infinity;

  /** Keeps liveness writes active for as long as a suspicion lasts. Returns true if they were not active before. */
  extend(nowMs: number): boolean {
    const wereDue = this.isActive(nowMs);
    this.untilMs = nowMs + SUSPICION_MS;
    return !wereDue;
  }

  isActive(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
