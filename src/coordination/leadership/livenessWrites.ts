/**
 * When a leader writes its record again and again to show the others that it lives. They see its host refuse connections,
 * as it sees theirs, and end the lease of a leader that writes nothing (see `LeaderSuspicion`). A leader that happened to
 * write nothing while the links between controllers were refused lost its lease, and 50 workers theirs with it.
 */
import { SUSPICION_MS } from "./leaderSuspicion.js";

/** Owns until when liveness writes go on. */
export class LivenessWrites {
  private untilMs = -Infinity;

  /** All hosts refuse: writes go on for as long as a suspicion counts. True when none were being made before. */
  prolong(nowMs: number): boolean {
    const wereDue = this.areDue(nowMs);
    this.untilMs = nowMs + SUSPICION_MS;
    return !wereDue;
  }

  areDue(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }
}
