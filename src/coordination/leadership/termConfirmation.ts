/**
 * Confirmation of a new term by a majority of the controllers. A controller that has confirmed a term extends no earlier
 * one, and any two majorities share a controller: from then on earlier leaders get no new extension.
 */
import { lengthenedByDrift } from "../term/clockDrift.js";
import { EXTENSION_MS } from "./leaseExtension.js";
import { isMajority } from "./quorum.js";

/** Allowance for timers that fire late at the earlier leader. */
const SILENCE_MARGIN_MS = 50;

/** Counts the controllers that have confirmed a term, and knows when earlier leaders' rights have ended. */
export class TermConfirmation {
  private readonly confirmedBy = new Set<string>();
  private silentFromMs = Infinity;

  constructor(
    /** Number of all controllers. */
    private readonly controllers: number,
    /** The leadership lease's time to live. */
    private readonly leaseMs: number,
  ) {}

  /** Steady time from which no earlier leader acknowledges anything; Infinity until a majority has confirmed the term. */
  get earlierLeadersSilentFromMs(): number {
    return this.silentFromMs;
  }

  get isComplete(): boolean {
    return this.silentFromMs < Infinity;
  }

  isConfirmedBy(node: string): boolean {
    return this.confirmedBy.has(node);
  }

  /** Counts one controller's confirmation; true when it makes the majority complete. */
  confirm(node: string, nowMs: number): boolean {
    this.confirmedBy.add(node);
    if (this.isComplete || !isMajority(this.confirmedBy.size, this.controllers)) return false;
    // An earlier leader can still hold an extension that was confirmed just before the majority confirmed this term, or,
    // if its lease was ended early, the rest of that lease.
    this.silentFromMs = nowMs + lengthenedByDrift(Math.max(EXTENSION_MS, this.leaseMs)) + SILENCE_MARGIN_MS;
    return true;
  }
}
