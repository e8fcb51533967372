/**
 * Confirmation of a new term by a majority of the controllers. A controller that has confirmed a term confirms no
 * extension of an earlier one, and any two majorities share a controller. So earlier leaders get no further extension
 * once a majority has confirmed the term.
 */
import { lengthenedByDrift } from "../term/clockDrift.js";
import { EXTENSION_MS } from "./leaseExtension.js";
import { isMajority } from "./quorum.js";

/** Allowance for timers that fire late at the earlier leader. */
const LATE_TIMER_MARGIN_MS = 50;

/** Counts the controllers that have confirmed a term, and computes when all rights of earlier leaders have expired. */
export class TermConfirmation {
  private readonly confirmedBy = new Set<string>();
  private expiredFromMs = Infinity;

  constructor(
    /** Number of all controllers, including this one. */
    private readonly controllerCount: number,
    /** Time to live of the leadership lease. */
    private readonly leaseMs: number,
  ) {}

  /** Steady time from which no earlier leader acknowledges heartbeats; Infinity before a majority has confirmed. */
  get earlierLeadershipExpiredFromMs(): number {
    return this.expiredFromMs;
  }

  get isComplete(): boolean {
    return this.expiredFromMs < Infinity;
  }

  isConfirmedBy(node: string): boolean {
    return this.confirmedBy.has(node);
  }

  /** Counts a controller's confirmation. Returns true if it completes the majority. */
  confirm(node: string, nowMs: number): boolean {
    this.confirmedBy.add(node);
    if (this.isComplete || !isMajority(this.confirmedBy.size, this.controllerCount)) return false;
    // An earlier leader may still use an extension that was confirmed just before the majority confirmed this term or, if
    // its lease was ended early, the rest of that lease.
    this.expiredFromMs =
      nowMs + lengthenedByDrift(Math.max(EXTENSION_MS, this.leaseMs)) + LATE_TIMER_MARGIN_MS;
    return true;
  }
}
